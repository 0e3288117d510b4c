package basaltlever.cli;

import basaltlever.config.Addresses;
import basaltlever.config.FleetSettings;
import basaltlever.config.InvalidSettingsException;
import basaltlever.config.OperatorFile;
import basaltlever.fleet.AdminClient;
import basaltlever.fleet.MessageCodec;
import basaltlever.json.InvalidJsonException;
import basaltlever.json.Json;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.math.BigDecimal;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Versions of a fleet's settings, and who is there: what the voters tell, by the operator's file.
 */
final class FleetCommand {
  private static final int MISUSED = 2;
  private static final int REFUSED = 1;
  private static final long LOOKS_MILLIS = 50;
  private static final long BEGINS_MILLIS = 15_000;

  private static class Where {
    @Parameter(
        names = "--operator",
        description = "the operator's file, with [fleet]",
        required = true)
    String operator;

    @Parameter(names = "--json", description = "one JSON object")
    boolean json;
  }

  @Parameters(
      commandDescription = "Proposes the settings of a file, and waits for what becomes of them")
  private static class Propose extends Where {
    @Parameter(description = "FILE", required = true)
    List<String> files = new ArrayList<>();

    @Parameter(names = "--who", description = "who proposes it")
    String who = System.getProperty("user.name");

    @Parameter(names = "--why", description = "one sentence for the history", required = true)
    String why;

    @Parameter(names = "--basis", description = "the version in force that it was made from")
    long basis = -1;

    @Parameter(names = "--wait-ms", description = "how long to wait for its end")
    long waitMillis = 15_000;
  }

  @Parameters(commandDescription = "Proposes the content of an earlier version as a new one")
  private static final class Revert extends Propose {}

  @Parameters(commandDescription = "Shows the version in force and the one on its way")
  private static final class Status extends Where {}

  @Parameters(commandDescription = "Shows what became of the latest versions")
  private static final class History extends Where {}

  @Parameters(commandDescription = "Shows what differs between two versions, key by key")
  private static final class Diff extends Where {
    @Parameter(description = "A B", required = true)
    List<String> numbers = new ArrayList<>();
  }

  @Parameters(commandDescription = "Shows who is there, each one's version, lease and list")
  private static final class Peers extends Where {}

  @Parameters(
      commandDescription =
          "Shows each voter, who leads and how far its log has come; takes one in or out")
  private static final class Voters extends Where {
    @Parameter(names = "--add", description = "the router that is to vote from now on")
    String add = "";

    @Parameter(names = "--remove", description = "the voter that is to vote no more")
    String remove = "";
  }

  @Parameters(commandDescription = "Goes on without a majority of the voters that is gone for good")
  private static final class Recover extends Where {
    @Parameter(
        names = "--charter",
        description = "the number of the charter that begins: one more than now",
        required = true)
    long charter;

    @Parameter(
        names = "--ended",
        description = "the voters whose processes have been ended, with commas",
        required = true)
    List<String> ended = new ArrayList<>();

    @Parameter(names = "--who", description = "who decides it")
    String who = System.getProperty("user.name");

    @Parameter(names = "--why", description = "one sentence for the history", required = true)
    String why;
  }

  /** Told to the user as it is. */
  private static final class Refusal extends Exception {
    private static final long serialVersionUID = 1L;
    private final int code;

    Refusal(int code, String why) {
      super(why);
      this.code = code;
    }
  }

  private final Propose propose = new Propose();
  private final Revert revert = new Revert();
  private final Status status = new Status();
  private final History history = new History();
  private final Diff diff = new Diff();
  private final Peers peers = new Peers();
  private final Voters voters = new Voters();
  private final Recover recover = new Recover();
  private JCommander settings;
  private JCommander fleet;

  void joins(JCommander main) {
    settings = main.getCommands().get("settings");
    settings.addCommand("propose", propose);
    settings.addCommand("revert", revert);
    settings.addCommand("status", status);
    settings.addCommand("history", history);
    settings.addCommand("diff", diff);
    fleet = main.getCommands().get("fleet");
    fleet.addCommand("status", peers);
    fleet.addCommand("voters", voters);
    fleet.addCommand("recover", recover);
  }

  int run(String of, PrintStream out, PrintStream err) {
    String command = (of.equals("fleet") ? fleet : settings).getParsedCommand();
    try {
      if (command == null) {
        throw new Refusal(
            MISUSED,
            of.equals("fleet")
                ? "fleet takes status, voters or recover"
                : "settings takes propose, revert, status, history or diff");
      }
      if (command.equals("voters")) {
        return voters.add.isEmpty() && voters.remove.isEmpty()
            ? tellVoters(out)
            : changeVoters(out);
      } else if (command.equals("recover")) {
        recover(out);
      } else if (of.equals("fleet")) {
        tellPeers(out);
      } else {
        switch (command) {
          case "propose" -> propose(out, propose, content(propose.files));
          case "revert" -> propose(out, revert, earlier());
          case "status" -> tellStatus(out);
          case "diff" -> tellDiff(out);
          default -> tellHistory(out);
        }
      }
      return 0;
    } catch (Refusal refusal) {
      err.println("basaltlever: " + refusal.getMessage());
      return refusal.code;
    } catch (InvalidSettingsException fault) {
      err.println("basaltlever: " + fault.getMessage().replace("\n", "\nbasaltlever: "));
      return MISUSED;
    } catch (IOException fault) {
      err.println("basaltlever: " + fault.getMessage());
      return REFUSED;
    } catch (InterruptedException ended) {
      return REFUSED;
    }
  }

  private static FleetSettings terms(Where where) throws InvalidSettingsException, Refusal {
    FleetSettings terms = OperatorFile.read(Path.of(where.operator)).fleet();
    if (terms == null) {
      throw new Refusal(MISUSED, where.operator + ": [fleet] name is empty, so there is no fleet");
    }
    return terms;
  }

  /** What the leading voter tells; where none leads, what any tells. */
  private static Map<String, Object> told(FleetSettings terms) throws Refusal {
    Map<String, Object> any = null;
    for (String voter : terms.voters().keySet()) {
      try {
        Map<String, Object> told =
            AdminClient.ask(
                terms.peers().get(voter), Map.of("do", "status", "fleet", terms.name()));
        if (MessageCodec.text(told, "do").equals("refused")) {
          throw new Refusal(REFUSED, voter + ": " + MessageCodec.text(told, "why"));
        }
        told.put("voter", voter);
        if (MessageCodec.flag(told, "leads")) {
          return told;
        }
        any = told;
      } catch (IOException silent) {
        // Another may answer.
      }
    }
    if (any == null) {
      throw new Refusal(REFUSED, "no voter of fleet " + terms.name() + " answers");
    }
    return any;
  }

  private static String content(List<String> files) throws Refusal, IOException {
    if (files.size() != 1) {
      throw new Refusal(MISUSED, "propose takes one file");
    }
    String file = files.get(0);
    try {
      String text = Files.readString(Path.of(file));
      if (!(Json.read(text) instanceof Map<?, ?> tree)) {
        throw new Refusal(MISUSED, file + " is no JSON object");
      }
      // A whole start file is taken for its settings.
      return json(tree.get("settings") instanceof Map<?, ?> settings ? settings : tree);
    } catch (InvalidJsonException fault) {
      throw new Refusal(MISUSED, file + " is no JSON: " + fault.getMessage());
    } catch (java.nio.file.NoSuchFileException missing) {
      throw new Refusal(MISUSED, file + " is missing");
    }
  }

  private static long number(String command, String text) throws Refusal {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException fault) {
      throw new Refusal(MISUSED, command + " takes the number of a version, not " + text);
    }
  }

  private String earlier() throws Refusal, InvalidSettingsException {
    if (revert.files.size() != 1) {
      throw new Refusal(MISUSED, "revert takes the number of one version");
    }
    return content(told(terms(revert)), number("revert", revert.files.get(0)));
  }

  /** What a version held; nothing for the start files' own. */
  private static String content(Map<String, Object> told, long number) throws Refusal {
    if (number == 0) {
      return "";
    }
    if (told.get("force") instanceof Map<?, ?> force
        && MessageCodec.number(force, "number") == number) {
      return MessageCodec.text(force, "text");
    }
    for (Object line : (List<?>) told.get("history")) {
      Map<?, ?> chapter = (Map<?, ?>) line;
      if (MessageCodec.number(chapter, "number") == number
          && MessageCodec.text(chapter, "end").equals("IN_FORCE")
          && chapter.containsKey("text")) {
        return MessageCodec.text(chapter, "text");
      }
    }
    throw new Refusal(
        REFUSED,
        "version " + number + " was never in force, or its content is not remembered any more");
  }

  private void tellDiff(PrintStream out) throws Refusal, InvalidSettingsException, IOException {
    if (diff.numbers.size() != 2) {
      throw new Refusal(MISUSED, "diff takes two numbers of versions");
    }
    Map<String, Object> told = told(terms(diff));
    List<Map<String, Object>> leaves = new ArrayList<>();
    for (String number : diff.numbers) {
      Map<String, Object> flat = new TreeMap<>();
      String text = content(told, number("diff", number));
      try {
        flatten("", text.isEmpty() ? Map.of() : Json.read(text), flat);
      } catch (InvalidJsonException fault) {
        throw new Refusal(REFUSED, "version " + number + " is no JSON: " + fault.getMessage());
      }
      leaves.add(flat);
    }
    Map<String, Object> differs = new TreeMap<>();
    StringBuilder text = new StringBuilder();
    TreeSet<String> keys = new TreeSet<>(leaves.get(0).keySet());
    keys.addAll(leaves.get(1).keySet());
    for (String key : keys) {
      Object before = leaves.get(0).get(key);
      Object after = leaves.get(1).get(key);
      if (!Objects.equals(before, after)) {
        differs.put(key, List.of(String.valueOf(before), String.valueOf(after)));
        text.append(text.isEmpty() ? "" : "\n")
            .append(key)
            .append(": ")
            .append(before)
            .append(" -> ")
            .append(after);
      }
    }
    tell(out, diff, differs, text.isEmpty() ? "nothing differs" : text.toString());
  }

  private static void flatten(String key, Object value, Map<String, Object> into) {
    if (value instanceof Map<?, ?> members && !members.isEmpty()) {
      members.forEach(
          (name, member) -> flatten(key.isEmpty() ? "" + name : key + "." + name, member, into));
    } else if (value instanceof List<?> items && !items.isEmpty()) {
      for (int i = 0; i < items.size(); i++) {
        flatten(key + "." + i, items.get(i), into);
      }
    } else if (!key.isEmpty()) {
      into.put(
          key,
          value instanceof BigDecimal number
              ? number.stripTrailingZeros().toPlainString()
              : String.valueOf(value));
    }
  }

  /**
   * What each voter of the file tells, and each that another tells of; with the reason where it
   * does not.
   */
  private static Map<String, Map<String, Object>> everyVoter(FleetSettings terms) {
    Map<String, Map<String, Object>> all = new LinkedHashMap<>();
    List<String> asked = new ArrayList<>(terms.voters().keySet());
    for (int i = 0; i < asked.size(); i++) {
      Map<String, Object> told = new LinkedHashMap<>();
      try {
        told.putAll(
            AdminClient.ask(
                terms.peers().get(asked.get(i)), Map.of("do", "status", "fleet", terms.name())));
      } catch (IOException silent) {
        told.put("why", "does not answer: " + silent.getMessage());
      }
      all.put(asked.get(i), told);
      MessageCodec.texts(told, "members").stream()
          .filter(member -> terms.peers().containsKey(member) && !asked.contains(member))
          .forEach(asked::add);
    }
    return all;
  }

  /** The voter that knows most; null where none votes. */
  private static String mostKnowing(Map<String, Map<String, Object>> all) {
    return all.keySet().stream()
        .filter(voter -> !MessageCodec.texts(all.get(voter), "members").isEmpty())
        .max(Comparator.comparingLong(voter -> MessageCodec.number(all.get(voter), "changes")))
        .orElse(null);
  }

  /** 1 where no majority answers. */
  private int tellVoters(PrintStream out) throws Refusal, InvalidSettingsException, IOException {
    FleetSettings terms = terms(voters);
    Map<String, Map<String, Object>> all = everyVoter(terms);
    String newest = mostKnowing(all);
    List<String> members =
        newest == null
            ? List.copyOf(terms.voters().keySet())
            : MessageCodec.texts(all.get(newest), "members");
    long charter = newest == null ? 0 : MessageCodec.number(all.get(newest), "charter");
    List<Map<String, Object>> lines = new ArrayList<>();
    StringBuilder text = new StringBuilder();
    int answer = 0;
    for (Map.Entry<String, Map<String, Object>> one : all.entrySet()) {
      Map<String, Object> told = one.getValue();
      boolean votes =
          members.contains(one.getKey())
              && MessageCodec.number(told, "charter") == charter
              && !MessageCodec.texts(told, "members").isEmpty();
      answer += votes ? 1 : 0;
      Map<String, Object> line = new LinkedHashMap<>();
      line.put("name", one.getKey());
      line.put("at", Addresses.text(terms.peers().get(one.getKey())));
      line.put("leads", MessageCodec.flag(told, "leads"));
      line.put("votes", votes);
      line.put(
          "standing",
          told.containsKey("standing")
              ? MessageCodec.text(told, "standing")
              : MessageCodec.text(told, "why"));
      lines.add(line);
      text.append(
          "%-16s %-22s %-7s %s%n"
              .formatted(
                  one.getKey(),
                  line.get("at"),
                  Boolean.TRUE.equals(line.get("leads")) ? "leads" : "",
                  line.get("standing")));
    }
    boolean most = 2 * answer > members.size();
    text.append("charter ")
        .append(charter)
        .append(": ")
        .append(answer)
        .append(" of ")
        .append(members.size())
        .append(
            most
                ? " vote"
                : " vote: no majority, so nothing comes into force and routers are careful");
    tell(
        out,
        voters,
        Map.of("voters", lines, "majority", most, "charter", charter, "members", members),
        text.toString());
    return most ? 0 : REFUSED;
  }

  private int changeVoters(PrintStream out) throws Refusal, InvalidSettingsException, IOException {
    if (!voters.add.isEmpty() && !voters.remove.isEmpty()) {
      throw new Refusal(MISUSED, "voters takes --add or --remove: one change at a time");
    }
    FleetSettings terms = terms(voters);
    boolean in = !voters.add.isEmpty();
    String voter = in ? voters.add : voters.remove;
    String leader =
        everyVoter(terms).entrySet().stream()
            .filter(one -> MessageCodec.flag(one.getValue(), "leads"))
            .map(Map.Entry::getKey)
            .findFirst()
            .orElseThrow(() -> new Refusal(REFUSED, "nobody leads"));
    command(terms, leader, Map.of("do", "voters", "fleet", terms.name(), "voter", voter, "in", in));
    tell(
        out,
        voters,
        Map.of("voter", voter, "in", in),
        voter + (in ? " votes from now on" : " votes no more"));
    return 0;
  }

  private static void command(FleetSettings terms, String voter, Map<String, Object> command)
      throws Refusal, IOException {
    Map<String, Object> answer = AdminClient.ask(terms.peers().get(voter), command);
    if (!MessageCodec.text(answer, "do").equals("taken")) {
      throw new Refusal(
          REFUSED, MessageCodec.text(answer, "do") + ": " + MessageCodec.text(answer, "why"));
    }
  }

  /** By the one that knows most of those that are left. */
  private void recover(PrintStream out)
      throws Refusal, InvalidSettingsException, IOException, InterruptedException {
    FleetSettings terms = terms(recover);
    for (String voter : recover.ended) {
      if (!terms.peers().containsKey(voter)) {
        throw new Refusal(MISUSED, "--ended names " + voter + ", which fleet.peers does not");
      }
    }
    String left = mostKnowing(everyVoter(terms));
    if (left == null) {
      throw new Refusal(
          REFUSED,
          "no voter of fleet "
              + terms.name()
              + " answers: one has to be left, with its"
              + " folder");
    }
    command(
        terms,
        left,
        Map.of(
            "do",
            "recover",
            "fleet",
            terms.name(),
            "number",
            recover.charter,
            "ended",
            recover.ended,
            "who",
            recover.who,
            "why",
            recover.why));
    for (long since = System.nanoTime(); millisSince(since) < BEGINS_MILLIS; ) {
      Map<String, Object> told =
          AdminClient.ask(terms.peers().get(left), Map.of("do", "status", "fleet", terms.name()));
      if (MessageCodec.flag(told, "leads")
          && MessageCodec.number(told, "charter") == recover.charter) {
        tell(
            out,
            recover,
            Map.of("charter", recover.charter, "voter", left),
            "charter "
                + recover.charter
                + " has begun: "
                + left
                + " leads, and votes alone: take others in with fleet voters --add NAME");
        return;
      }
      Thread.sleep(LOOKS_MILLIS);
    }
    throw new Refusal(
        REFUSED,
        "charter "
            + recover.charter
            + " is "
            + left
            + "'s, which does not lead yet: see"
            + " fleet voters");
  }

  /** On the monotonic clock: a step of the wall clock neither ends a wait nor prolongs it. */
  private static long millisSince(long nanos) {
    return (System.nanoTime() - nanos) / 1_000_000;
  }

  private void propose(PrintStream out, Propose of, String text)
      throws Refusal, InvalidSettingsException, IOException, InterruptedException {
    FleetSettings terms = terms(of);
    Map<String, Object> before = told(terms);
    long basis =
        of.basis >= 0 ? of.basis : MessageCodec.number((Map<?, ?>) before.get("force"), "number");
    Map<String, Object> command = new LinkedHashMap<>();
    command.put("do", "propose");
    command.put("fleet", terms.name());
    command.put("number", basis);
    command.put("text", text);
    command.put("who", of.who);
    command.put("why", of.why);
    Map<String, Object> answer =
        AdminClient.ask(terms.peers().get(MessageCodec.text(before, "voter")), command);
    if (!MessageCodec.text(answer, "do").equals("taken")) {
      throw new Refusal(
          REFUSED, MessageCodec.text(answer, "do") + ": " + MessageCodec.text(answer, "why"));
    }
    for (long since = System.nanoTime(); millisSince(since) < of.waitMillis; ) {
      Map<String, Object> now = told(terms);
      for (Object line : (List<?>) now.get("history")) {
        Map<?, ?> chapter = (Map<?, ?>) line;
        boolean own =
            MessageCodec.text(chapter, "who").equals(of.who)
                && MessageCodec.text(chapter, "why").equals(of.why)
                && MessageCodec.number(chapter, "number") > basis;
        if (own && MessageCodec.text(chapter, "end").equals("IN_FORCE")) {
          tell(
              out,
              of,
              chapter,
              "version " + MessageCodec.number(chapter, "number") + " is in force");
          return;
        }
        if (own && MessageCodec.text(chapter, "end").equals("WITHDRAWN")) {
          throw new Refusal(
              REFUSED,
              "version "
                  + MessageCodec.number(chapter, "number")
                  + " was withdrawn: "
                  + MessageCodec.text(chapter, "reason"));
        }
      }
      Thread.sleep(LOOKS_MILLIS);
    }
    throw new Refusal(
        REFUSED,
        "it was taken, and neither came into force nor was withdrawn in "
            + of.waitMillis
            + " ms: see settings status");
  }

  private static void tell(PrintStream out, Where where, Map<?, ?> json, String plain)
      throws IOException {
    out.println(where.json ? json(json) : plain);
  }

  private void tellStatus(PrintStream out) throws Refusal, InvalidSettingsException, IOException {
    Map<String, Object> told = told(terms(status));
    told.keySet().retainAll(List.of("voter", "leads", "standing", "force", "prepared"));
    tell(
        out,
        status,
        told,
        "in force: "
            + line(told.get("force"))
            + "\non its way: "
            + line(told.get("prepared"))
            + "\ntold by "
            + told.get("voter")
            + ", "
            + told.get("standing"));
  }

  private static String line(Object version) {
    return version instanceof Map<?, ?> map
        ? MessageCodec.number(map, "number")
            + " by "
            + MessageCodec.text(map, "who")
            + " for "
            + MessageCodec.number(map, "routers")
            + " routers: "
            + MessageCodec.text(map, "why")
        : "none";
  }

  private void tellHistory(PrintStream out) throws Refusal, InvalidSettingsException, IOException {
    Map<String, Object> told = told(terms(history));
    List<?> lines = (List<?>) told.get("history");
    StringBuilder text = new StringBuilder();
    for (Object line : lines) {
      Map<?, ?> chapter = (Map<?, ?>) line;
      text.append(text.isEmpty() ? "" : "\n")
          .append(MessageCodec.text(chapter, "end"))
          .append(' ')
          .append(line(line))
          .append(
              MessageCodec.text(chapter, "reason").isEmpty()
                  ? ""
                  : " (" + MessageCodec.text(chapter, "reason") + ")");
    }
    told.keySet().retainAll(List.of("history"));
    tell(out, history, told, text.isEmpty() ? "none was proposed yet" : text.toString());
  }

  private void tellPeers(PrintStream out) throws Refusal, InvalidSettingsException, IOException {
    FleetSettings terms = terms(peers);
    Map<String, Object> told = told(terms);
    StringBuilder text =
        new StringBuilder(
            "%-16s %8s %9s %9s %9s %10s %-9s %s"
                .formatted(
                    "router",
                    "version",
                    "keeps to",
                    "lease ms",
                    "heard ms",
                    "list",
                    "is",
                    "turned down"));
    Map<String, Object> seen = new TreeMap<>();
    for (Object line : (List<?>) told.get("peers")) {
      Map<?, ?> peer = (Map<?, ?>) line;
      seen.put(MessageCodec.text(peer, "name"), peer);
    }
    for (String name : terms.peers().keySet()) {
      Map<?, ?> peer = (Map<?, ?>) seen.get(name);
      text.append("\n")
          .append(
              peer == null
                  ? "%-16s is not there".formatted(name)
                  : "%-16s %8d %9d %9d %9d %10d %-9s %s"
                      .formatted(
                          name,
                          MessageCodec.number(peer, "force"),
                          MessageCodec.number(peer, "keeps"),
                          MessageCodec.number(peer, "lease_ms"),
                          MessageCodec.number(peer, "heard_ms_ago"),
                          MessageCodec.number(peer, "generation"),
                          MessageCodec.text(peer, "list"),
                          MessageCodec.text(peer, "refusal")));
    }
    for (Object line : told.get("forks") instanceof List<?> forks ? forks : List.of()) {
      Map<?, ?> fork = (Map<?, ?>) line;
      text.append("\ndiscovery tells two things as generation ")
          .append(MessageCodec.number(fork, "generation"))
          .append(": ")
          .append(fork.get("holders"));
    }
    for (Object line : told.get("moving") instanceof List<?> moving ? moving : List.of()) {
      Map<?, ?> seat = (Map<?, ?>) line;
      text.append("\n")
          .append(MessageCodec.text(seat, "member"))
          .append(" moves to group ")
          .append(MessageCodec.number(seat, "group"))
          .append(": not used until every router has let go of it");
    }
    text.append("\ntold by ").append(told.get("voter")).append(", ").append(told.get("standing"));
    told.keySet()
        .retainAll(List.of("voter", "leads", "standing", "peers", "forks", "moving", "era"));
    tell(out, peers, told, text.toString());
  }

  private static String json(Object value) throws IOException {
    StringWriter text = new StringWriter();
    try (JsonGenerator out = new JsonFactory().createGenerator(text)) {
      MessageCodec.value(out, value);
    }
    return text.toString();
  }
}
