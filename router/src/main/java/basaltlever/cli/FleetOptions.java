package basaltlever.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/**
 * Options of the commands {@code settings} and {@code fleet}. They are read by reflection before
 * the operator's libraries are on the class path, so they refer to none of these.
 */
final class FleetOptions {
  private static final long DEFAULT_WAIT_MILLIS = 15_000;

  private FleetOptions() {}

  /** Options of all commands. */
  static class Common {
    @Parameter(
        names = "--operator",
        description = "the operator's file, with [fleet]",
        required = true)
    String operator;

    @Parameter(names = "--json", description = "one JSON object")
    boolean json;
  }

  /** Options of {@code settings propose}. */
  @Parameters(
      commandDescription = "Proposes the settings of a file, and waits for what becomes of them")
  static class Propose extends Common {
    @Parameter(description = "FILE", required = true)
    List<String> files = new ArrayList<>();

    @Parameter(names = "--who", description = "who proposes it")
    String proposer = System.getProperty("user.name");

    @Parameter(names = "--why", description = "one sentence for the history", required = true)
    String reason;

    @Parameter(names = "--basis", description = "the version in force that it was made from")
    long basis = -1;

    @Parameter(names = "--wait-ms", description = "how long to wait for its end")
    long waitMillis = DEFAULT_WAIT_MILLIS;
  }

  /** Options of {@code settings revert}. */
  @Parameters(commandDescription = "Proposes the content of an earlier version as a new one")
  static final class Revert extends Propose {}

  /** Options of {@code settings status}. */
  @Parameters(commandDescription = "Shows the version in force and the one on its way")
  static final class SettingsStatus extends Common {}

  /** Options of {@code settings history}. */
  @Parameters(commandDescription = "Shows what became of the latest versions")
  static final class History extends Common {}

  /** Options of {@code settings diff}. */
  @Parameters(commandDescription = "Shows what differs between two versions, key by key")
  static final class Diff extends Common {
    @Parameter(description = "A B", required = true)
    List<String> numbers = new ArrayList<>();
  }

  /** Options of {@code fleet status}. */
  @Parameters(commandDescription = "Shows who is there, each one's version, lease and list")
  static final class FleetStatus extends Common {}

  /** Options of {@code fleet voters}. */
  @Parameters(
      commandDescription =
          "Shows each voter, who leads and how far its log has come; takes one in or out")
  static final class Voters extends Common {
    @Parameter(names = "--add", description = "the router that is to vote from now on")
    String add = "";

    @Parameter(names = "--remove", description = "the voter that is to vote no more")
    String remove = "";
  }

  /** Options of {@code fleet recover}. */
  @Parameters(commandDescription = "Goes on without a majority of the voters that is gone for good")
  static final class Recover extends Common {
    @Parameter(
        names = "--charter",
        description = "the number of the charter that begins: one more than now",
        required = true)
    long epoch;

    @Parameter(
        names = "--ended",
        description = "the voters whose processes have been ended, with commas",
        required = true)
    List<String> endedVoters = new ArrayList<>();

    @Parameter(names = "--who", description = "who decides it")
    String requester = System.getProperty("user.name");

    @Parameter(names = "--why", description = "one sentence for the history", required = true)
    String reason;
  }
}
