package basaltlever.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/**
 * Options of the commands {@code settings} and {@code fleet}. The parser reads them by reflection
 * before the operator's libraries are on the class path, so they must not refer to these.
 */
final class FleetOptions {
  private static final long DEFAULT_WAIT_MILLIS = 15_000;

  private FleetOptions() {}

  /** Options of all commands. */
  static class Common {
    @Parameter(
        names = "--operator",
        description = "operator's file with a [fleet] section",
        required = true)
    String operator;

    @Parameter(names = "--json", description = "print one JSON object")
    boolean json;
  }

  /** Options of {@code settings propose}. */
  @Parameters(commandDescription = "Proposes the settings of a file and waits for the outcome")
  static class Propose extends Common {
    @Parameter(description = "FILE", required = true)
    List<String> files = new ArrayList<>();

    @Parameter(names = "--who", description = "who proposes it")
    String proposer = System.getProperty("user.name");

    @Parameter(names = "--why", description = "one sentence for the history", required = true)
    String reason;

    @Parameter(
        names = "--basis",
        description = "number of the version in force that the proposal is based on")
    long basis = -1;

    @Parameter(
        names = "--wait-ms",
        description = "how long to wait for the outcome, in milliseconds")
    long waitMillis = DEFAULT_WAIT_MILLIS;
  }

  /** Options of {@code settings revert}. */
  @Parameters(commandDescription = "Proposes the settings of an earlier version as a new version")
  static final class Revert extends Propose {}

  /** Options of {@code settings status}. */
  @Parameters(
      commandDescription = "Shows the version in force and the one being brought into force")
  static final class SettingsStatus extends Common {}

  /** Options of {@code settings history}. */
  @Parameters(commandDescription = "Shows the outcome of the latest versions")
  static final class History extends Common {}

  /** Options of {@code settings diff}. */
  @Parameters(commandDescription = "Shows the differences between two versions, key by key")
  static final class Diff extends Common {
    @Parameter(description = "A B", required = true)
    List<String> numbers = new ArrayList<>();
  }

  /** Options of {@code fleet status}. */
  @Parameters(commandDescription = "Shows each router with its version, lease and endpoint list")
  static final class FleetStatus extends Common {}

  /** Options of {@code fleet voters}. */
  @Parameters(
      commandDescription =
          "Shows each voter, the leader and the progress of each log; adds or removes a voter")
  static final class Voters extends Common {
    @Parameter(names = "--add", description = "router to add as a voter")
    String add = "";

    @Parameter(names = "--remove", description = "voter to remove")
    String remove = "";
  }

  /** Options of {@code fleet recover}. */
  @Parameters(
      commandDescription = "Restores a fleet that has permanently lost the majority of its voters")
  static final class Recover extends Common {
    @Parameter(
        names = "--charter",
        description = "number of the new configuration epoch: the current one plus 1",
        required = true)
    long epoch;

    @Parameter(
        names = "--ended",
        description = "voters whose processes have been stopped, separated by commas",
        required = true)
    List<String> endedVoters = new ArrayList<>();

    @Parameter(names = "--who", description = "who requests it")
    String requester = System.getProperty("user.name");

    @Parameter(names = "--why", description = "one sentence for the history", required = true)
    String reason;
  }
}
