package basaltlever.cli;

import basaltlever.config.FleetSettings;
import basaltlever.config.InvalidSettingsException;
import basaltlever.config.OperatorFile;
import basaltlever.fleet.AdminClient;
import basaltlever.fleet.FleetReply;
import basaltlever.fleet.FleetRequest;
import basaltlever.fleet.StatusCodec;
import basaltlever.fleet.StatusReport;
import basaltlever.settings.SettingsVersion;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Asks the voters of the fleet that an operator's file describes. */
final class FleetClient {
  private static final String VOTER_KEY = "voter";

  /** What one voter reported. */
  record VoterStatus(String voter, StatusReport status) {
    /** Those keys of the report, in its order, and then the voter. */
    Map<String, Object> json(List<String> keys) {
      Map<String, Object> json = StatusCodec.encode(status);
      json.keySet().retainAll(keys);
      json.put(VOTER_KEY, voter);
      return json;
    }

    /** Which voter reported it, as the last line of a text. */
    String source() {
      return "\ntold by " + voter + ", " + status.raftStatus();
    }
  }

  /**
   * A voter's answer.
   *
   * @param status null where there is none
   * @param problem why there is none; else empty
   */
  record VoterAnswer(StatusReport status, String problem) {
    boolean leads() {
      return status != null && status.isLeader();
    }

    List<String> members() {
      return status == null ? List.of() : status.voters();
    }

    long epoch() {
      return status == null ? 0 : status.epoch();
    }
  }

  private final FleetSettings settings;

  private FleetClient(FleetSettings settings) {
    this.settings = settings;
  }

  /** Reads the operator's file. */
  static FleetClient of(FleetOptions.Common options)
      throws InvalidSettingsException, CommandMisusedException {
    FleetSettings settings = OperatorFile.read(Path.of(options.operator)).fleet();
    if (settings == null) {
      throw new CommandMisusedException(
          options.operator + ": [fleet] name is empty, so there is no fleet");
    }
    return new FleetClient(settings);
  }

  FleetSettings settings() {
    return settings;
  }

  FleetReply send(String voter, FleetRequest request) throws IOException {
    return AdminClient.send(settings.peers().get(voter), request);
  }

  /** Throws where the voter doesn't accept the request. */
  void execute(String voter, FleetRequest request) throws CommandRefusedException, IOException {
    FleetReply reply = send(voter, request);
    if (reply instanceof FleetReply.Accepted) {
      return;
    }
    if (reply instanceof FleetReply.Rejected refused) {
      throw new CommandRefusedException("refused: " + refused.reason());
    }
    if (reply instanceof FleetReply.Undecided undecided) {
      throw new CommandRefusedException("unknown: " + undecided.reason());
    }
    throw new CommandRefusedException(
        reply instanceof FleetReply.Unknown unknown
            ? unknown.kind() + ": " + unknown.reason()
            : "not an answer to a command: " + reply);
  }

  private FleetReply askStatus(String voter) throws IOException {
    return send(voter, new FleetRequest.Status(settings.name(), ""));
  }

  /** The leader's status, or that of any voter where nobody leads. */
  VoterStatus leaderStatus() throws CommandRefusedException {
    VoterStatus any = null;
    for (String voter : settings.voters().keySet()) {
      try {
        FleetReply reply = askStatus(voter);
        if (reply instanceof FleetReply.Rejected refused) {
          throw new CommandRefusedException(voter + ": " + refused.reason());
        }
        if (reply instanceof StatusReport status) {
          any = new VoterStatus(voter, status);
          if (status.isLeader()) {
            return any;
          }
        }
      } catch (IOException noAnswer) {
        // Another may answer.
      }
    }
    if (any == null) {
      throw new CommandRefusedException("no voter of fleet " + settings.name() + " answers");
    }
    return any;
  }

  /** The answers of all voters of the operator's file, and of those that they name. */
  Map<String, VoterAnswer> askAllVoters() {
    Map<String, VoterAnswer> answers = new LinkedHashMap<>();
    List<String> voters = new ArrayList<>(settings.voters().keySet());
    for (int i = 0; i < voters.size(); i++) {
      VoterAnswer answer = answer(voters.get(i));
      answers.put(voters.get(i), answer);
      answer.members().stream()
          .filter(member -> settings.peers().containsKey(member) && !voters.contains(member))
          .forEach(voters::add);
    }
    return answers;
  }

  private VoterAnswer answer(String voter) {
    try {
      FleetReply reply = askStatus(voter);
      if (reply instanceof StatusReport status) {
        return new VoterAnswer(status, "");
      }
      String reason = reply instanceof FleetReply.Rejected refused ? refused.reason() : "";
      return new VoterAnswer(null, reason);
    } catch (IOException noAnswer) {
      return new VoterAnswer(null, "does not answer: " + noAnswer.getMessage());
    }
  }

  /** Whether the voter leads in the epoch by now. */
  boolean leads(String voter, long epoch) throws IOException {
    return askStatus(voter) instanceof StatusReport status
        && status.isLeader()
        && status.epoch() == epoch;
  }

  /** The voter whose register is the newest; null where none votes. */
  static String mostUpToDate(Map<String, VoterAnswer> answers) {
    return answers.keySet().stream()
        .filter(voter -> !answers.get(voter).members().isEmpty())
        .max(Comparator.comparingLong(voter -> answers.get(voter).status().changeCount()))
        .orElse(null);
  }

  /** The settings text of a version; empty for the start files' own. */
  static String text(StatusReport status, long number) throws CommandRefusedException {
    if (number == 0) {
      return "";
    }
    SettingsVersion inForce = status.inForce();
    if (inForce != null && inForce.number() == number) {
      return inForce.settingsJson();
    }
    for (StatusReport.VersionStatus line : status.history()) {
      SettingsVersion version = line.version().version();
      if (version.number() == number
          && line.outcome().equals("IN_FORCE")
          && line.version().hasText()) {
        return version.settingsJson();
      }
    }
    throw new CommandRefusedException(
        "version " + number + " was never in force, or its content is not remembered any more");
  }

  /** The number of a version, as an argument of the command. */
  static long versionNumber(String command, String argument) throws CommandMisusedException {
    try {
      return Long.parseLong(argument);
    } catch (NumberFormatException fault) {
      throw new CommandMisusedException(
          command + " takes the number of a version, not " + argument);
    }
  }

  /** One line on a version; "none" for null. */
  static String describe(SettingsVersion version) {
    return version == null
        ? "none"
        : version.number()
            + " by "
            + version.proposer()
            + " for "
            + version.routers()
            + " routers: "
            + version.reason();
  }
}
