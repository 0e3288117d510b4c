package basaltlever.cli;

import basaltlever.cli.FleetClient.VoterAnswer;
import basaltlever.config.Addresses;
import basaltlever.config.FleetSettings;
import basaltlever.config.InvalidSettingsException;
import basaltlever.fleet.FleetRequest;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Shows the voters, or adds or removes one. */
final class VotersCommand {
  private record VoterLine(
      String name, String address, boolean leads, boolean votes, String standing) {
    Map<String, Object> json() {
      Map<String, Object> json = new LinkedHashMap<>();
      json.put("name", name);
      json.put("at", address);
      json.put("leads", leads);
      json.put("votes", votes);
      json.put("standing", standing);
      return json;
    }

    String text() {
      return "%-16s %-22s %-7s %s%n".formatted(name, address, leads ? "leads" : "", standing);
    }
  }

  private final FleetOptions.Voters options;
  private final PrintStream out;

  VotersCommand(FleetOptions.Voters options, PrintStream out) {
    this.options = options;
    this.out = out;
  }

  int run() throws CommandException, InvalidSettingsException, IOException {
    return options.add.isEmpty() && options.remove.isEmpty() ? show() : change();
  }

  /** Returns {@link ExitCode#REFUSED} where no majority answers. */
  private int show() throws CommandException, InvalidSettingsException, IOException {
    FleetClient client = FleetClient.of(options);
    Map<String, VoterAnswer> answers = client.askAllVoters();
    String newest = FleetClient.mostUpToDate(answers);
    List<String> members =
        newest == null
            ? List.copyOf(client.settings().voters().keySet())
            : answers.get(newest).members();
    long epoch = newest == null ? 0 : answers.get(newest).epoch();
    List<VoterLine> lines = lines(client.settings(), answers, members, epoch);
    long voting = lines.stream().filter(VoterLine::votes).count();
    boolean majority = 2 * voting > members.size();
    StringBuilder text = new StringBuilder();
    lines.forEach(line -> text.append(line.text()));
    text.append("charter %s: %s of %s".formatted(epoch, voting, members.size()))
        .append(
            majority
                ? " vote"
                : " vote: no majority, so nothing comes into force and routers are careful");
    Map<String, Object> json = new LinkedHashMap<>();
    json.put("voters", lines.stream().map(VoterLine::json).toList());
    json.put("majority", majority);
    json.put("charter", epoch);
    json.put("members", members);
    CommandOutput.print(out, options, json, text.toString());
    return majority ? ExitCode.OK : ExitCode.REFUSED;
  }

  private static List<VoterLine> lines(
      FleetSettings settings, Map<String, VoterAnswer> answers, List<String> members, long epoch) {
    List<VoterLine> lines = new ArrayList<>();
    answers.forEach(
        (voter, answer) ->
            lines.add(
                new VoterLine(
                    voter,
                    Addresses.text(settings.peers().get(voter)),
                    answer.leads(),
                    members.contains(voter)
                        && answer.epoch() == epoch
                        && !answer.members().isEmpty(),
                    answer.status() == null ? answer.problem() : answer.status().raftStatus())));
    return lines;
  }

  private int change() throws CommandException, InvalidSettingsException, IOException {
    if (!options.add.isEmpty() && !options.remove.isEmpty()) {
      throw new CommandMisusedException("voters takes --add or --remove: one change at a time");
    }
    FleetClient client = FleetClient.of(options);
    boolean add = !options.add.isEmpty();
    String voter = add ? options.add : options.remove;
    String leader =
        client.askAllVoters().entrySet().stream()
            .filter(entry -> entry.getValue().leads())
            .map(Map.Entry::getKey)
            .findFirst()
            .orElseThrow(() -> new CommandRefusedException("nobody leads"));
    client.execute(leader, new FleetRequest.ChangeVoters(client.settings().name(), voter, add));
    CommandOutput.print(
        out,
        options,
        Map.of("voter", voter, "in", add),
        voter + (add ? " votes from now on" : " votes no more"));
    return ExitCode.OK;
  }
}
