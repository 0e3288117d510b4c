package basaltlever.cli;

import basaltlever.snapshot.EndpointState;
import basaltlever.snapshot.LearnedState;
import basaltlever.snapshot.StateDecay;
import basaltlever.snapshot.StateRestore;
import basaltlever.snapshot.StoredEndpoint;
import basaltlever.storage.InvalidSnapshotException;
import basaltlever.storage.LockedDirectory;
import basaltlever.storage.SnapshotCodec;
import basaltlever.storage.SnapshotStore;
import basaltlever.storage.SystemClocks;
import basaltlever.time.Span;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Shows and checks stored snapshots, for people and scripts. Writes nothing and takes no lock. */
final class StateCommand {
  @Parameters(commandDescription = "Shows the newest whole view of a folder, aged to now")
  private static final class Show {
    @Parameter(description = "DIR", required = true)
    private String folder;

    @Parameter(names = "--json", description = "one JSON object instead of a table")
    private boolean json;
  }

  @Parameters(commandDescription = "Says whether files hold whole views, and where not")
  private static final class Verify {
    @Parameter(description = "FILE...", required = true)
    private List<String> files = new ArrayList<>();
  }

  @Parameters(commandDescription = "Shows in what two views differ")
  private static final class Diff {
    @Parameter(description = "A B", required = true)
    private List<String> files = new ArrayList<>();
  }

  private final Show show = new Show();
  private final Verify verify = new Verify();
  private final Diff diff = new Diff();
  private JCommander parser;

  /** Adds the sub-commands. */
  void joins(JCommander main) {
    parser = main.getCommands().get("state");
    parser.addCommand("show", show);
    parser.addCommand("verify", verify);
    parser.addCommand("diff", diff);
  }

  /** Runs the sub-command that was named; returns the exit code. */
  int run(PrintStream out, PrintStream err) throws IOException {
    String command = parser.getParsedCommand();
    return switch (command == null ? "" : command) {
      case "show" -> show(out, err);
      case "verify" -> verify(out, err);
      case "diff" -> diff(out, err);
      default -> {
        parser.usage();
        yield ExitCode.MISUSED;
      }
    };
  }

  private int verify(PrintStream out, PrintStream err) {
    int code = ExitCode.OK;
    for (String file : verify.files) {
      LearnedState state = read(file, err);
      if (state == null) {
        code = ExitCode.MISUSED;
      } else {
        out.printf(
            "%s is whole: number %d, %d nodes%n", file, state.sequence(), state.endpoints().size());
      }
    }
    return code;
  }

  private static LearnedState read(String file, PrintStream err) {
    try {
      return SnapshotCodec.decode(
          LockedDirectory.read(Path.of(file), SnapshotCodec.MAX_FILE_BYTES));
    } catch (InvalidSnapshotException | IOException | InvalidPathException fault) {
      err.println("basaltlever: " + file + ": " + fault.getMessage());
      return null;
    }
  }

  private int show(PrintStream out, PrintStream err) throws IOException {
    SnapshotStore.LoadResult found;
    try (LockedDirectory directory = new LockedDirectory(Path.of(show.folder))) {
      found = new SnapshotStore(directory).loadNewest();
    } catch (IOException | InvalidPathException fault) {
      err.println("basaltlever: " + show.folder + " can't be read: " + fault);
      return ExitCode.MISUSED;
    }
    found.rejectedFiles().forEach(fault -> err.println("basaltlever: " + fault));
    LearnedState view = found.state();
    if (view == null) {
      err.println("basaltlever: " + show.folder + " holds no whole view");
      return ExitCode.MISUSED;
    }
    StateRestore now =
        StateRestore.evaluate(
            view,
            view.deployment(),
            view.router(),
            SystemClocks.unixMicros(),
            SystemClocks.monotonicMicros(),
            SystemClocks.bootId());
    double weight = now.rejection().isEmpty() ? StateDecay.weight(now.age()) : 0;
    if (show.json) {
      json(out, found.fileName(), view, now, weight);
      return ExitCode.OK;
    }
    table(out, found.fileName(), view, now, weight);
    return ExitCode.OK;
  }

  private static void table(
      PrintStream out, String fileName, LearnedState view, StateRestore now, double weight) {
    out.printf(
        "%s, router '%s' of deployment '%s', list version %d%n",
        fileName, view.router(), view.deployment(), view.listVersion());
    out.println(
        now.rejection().isEmpty()
            ? String.format("%.1f s old, weight %.4f", seconds(now.age()), weight)
            : "counts for nothing: " + now.rejection());
    out.printf(
        "%-24s %-24s %6s %9s %7s  %s%n", "node", "address", "group", "age_s", "weight", "learned");
    for (StoredEndpoint known : view.endpoints()) {
      out.printf(
          "%-24s %-24s %6d %9.1f %7.4f  %s%n",
          printable(known.id()),
          printable(known.address()),
          known.state().group(),
          seconds(now.age()),
          weight,
          printable("" + learned(known.state())));
    }
  }

  private static double seconds(Span span) {
    return span.micros() / 1e6;
  }

  /** Names come from discovery: no control character of them may reach the terminal. */
  private static String printable(String text) {
    return text.replaceAll("\\p{Cntrl}", "?");
  }

  /** What was learned of an endpoint beyond what is usual, by the keys of docs/restart.md. */
  private static Map<String, Object> learned(EndpointState view) {
    Map<String, Object> learned = new LinkedHashMap<>();
    put(learned, "drains", view.draining(), true);
    put(learned, "primary", view.primary(), true);
    put(learned, "silent", view.unresponsive(), true);
    put(learned, "down_ms", view.downFor().micros() / 1_000, view.isDown());
    put(learned, "failing", rounded(view.failureRate()), view.failureRate() >= 0.001);
    put(learned, "strained", rounded(view.latencyStrain()), view.latencyStrain() >= 0.001);
    put(learned, "room", rounded(view.capacity()), true);
    put(learned, "turned_away", view.consecutiveRejections(), view.consecutiveRejections() > 0);
    put(
        learned,
        "rests_ms",
        view.remainingBackoff().micros() / 1_000,
        view.remainingBackoff().micros() > 0);
    put(learned, "lag_ms", view.lag().micros() / 1_000, view.lag().micros() >= 1_000);
    put(learned, "cold_spent", rounded(view.slowStartSpent()), view.slowStartSpent() > 0);
    return learned;
  }

  private static double rounded(double value) {
    return Math.round(value * 1_000) / 1_000.0;
  }

  private static void put(Map<String, Object> map, String name, Object value, boolean told) {
    if (told && !Boolean.FALSE.equals(value)) {
      map.put(name, value);
    }
  }

  private static void json(
      PrintStream to, String name, LearnedState view, StateRestore now, double weight)
      throws IOException {
    JsonFactory factory = new JsonFactory().disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
    try (JsonGenerator out = factory.createGenerator(to)) {
      out.writeStartObject();
      out.writeStringField("file", name);
      out.writeNumberField("number", view.sequence());
      out.writeStringField("deployment", view.deployment());
      out.writeStringField("router", view.router());
      out.writeNumberField("listed", view.listVersion());
      out.writeStringField("worthless", now.rejection());
      out.writeNumberField("age_ms", now.age().micros() / 1_000);
      out.writeNumberField("weight", weight);
      out.writeArrayFieldStart("nodes");
      for (StoredEndpoint known : view.endpoints()) {
        endpoint(out, known, now, weight);
      }
      out.writeEndArray();
      out.writeEndObject();
    }
    to.println();
  }

  private static void endpoint(
      JsonGenerator out, StoredEndpoint known, StateRestore now, double weight) throws IOException {
    out.writeStartObject();
    out.writeStringField("id", known.id());
    out.writeStringField("address", known.address());
    out.writeNumberField("group", known.state().group());
    out.writeNumberField("age_ms", now.age().micros() / 1_000);
    out.writeNumberField("weight", weight);
    for (Map.Entry<String, Object> entry : learned(known.state()).entrySet()) {
      out.writeFieldName(entry.getKey());
      if (entry.getValue() instanceof Boolean flag) {
        out.writeBoolean(flag);
      } else if (entry.getValue() instanceof Double number) {
        out.writeNumber(number);
      } else {
        out.writeNumber(((Number) entry.getValue()).longValue());
      }
    }
    out.writeEndObject();
  }

  private int diff(PrintStream out, PrintStream err) {
    if (diff.files.size() != 2) {
      err.println("basaltlever: state diff takes two files");
      return ExitCode.MISUSED;
    }
    LearnedState a = read(diff.files.get(0), err);
    LearnedState b = read(diff.files.get(1), err);
    if (a == null || b == null) {
      return ExitCode.MISUSED;
    }
    out.printf(
        "number %d to %d, %.1f s apart%n",
        a.sequence(),
        b.sequence(),
        new Span(b.writtenAtMicros() - a.writtenAtMicros()).micros() / 1e6);
    Map<String, StoredEndpoint> before = byId(a);
    Map<String, StoredEndpoint> after = byId(b);
    before.values().forEach(known -> difference(out, known, after.get(known.id())));
    after.values().stream()
        .filter(known -> !before.containsKey(known.id()))
        .forEach(known -> out.println("+ " + printable(known.id()) + " " + learned(known.state())));
    return ExitCode.OK;
  }

  private static Map<String, StoredEndpoint> byId(LearnedState state) {
    Map<String, StoredEndpoint> endpoints = new TreeMap<>();
    state.endpoints().forEach(known -> endpoints.put(known.id(), known));
    return endpoints;
  }

  /** Prints in what an endpoint differs; the later one is null where it is gone. */
  private static void difference(PrintStream out, StoredEndpoint before, StoredEndpoint after) {
    Map<String, Object> learnedBefore = learned(before.state());
    if (after == null) {
      out.println("- " + printable(before.id()) + " " + learnedBefore);
      return;
    }
    Map<String, Object> learnedAfter = learned(after.state());
    if (!before.address().equals(after.address()) || !learnedBefore.equals(learnedAfter)) {
      out.println(
          "  "
              + printable(before.id() + " " + before.address())
              + " "
              + learnedBefore
              + " to "
              + printable(after.address())
              + " "
              + learnedAfter);
    }
  }
}
