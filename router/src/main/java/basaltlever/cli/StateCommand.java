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

/**
 * Prints and checks stored snapshots, for people and scripts. Writes no files, acquires no lock.
 */
final class StateCommand {
  @Parameters(
      commandDescription = "Shows the newest valid snapshot in a directory, with its present age")
  private static final class Show {
    @Parameter(description = "DIR", required = true)
    private String directory;

    @Parameter(names = "--json", description = "print one JSON object instead of a table")
    private boolean json;
  }

  @Parameters(
      commandDescription = "Checks whether files contain valid snapshots, and reports faults")
  private static final class Verify {
    @Parameter(description = "FILE...", required = true)
    private List<String> files = new ArrayList<>();
  }

  @Parameters(commandDescription = "Shows the differences between two snapshots")
  private static final class Diff {
    @Parameter(description = "A B", required = true)
    private List<String> files = new ArrayList<>();
  }

  private final Show show = new Show();
  private final Verify verify = new Verify();
  private final Diff diff = new Diff();
  private JCommander parser;

  /** Adds the subcommands to those of the program. */
  void addTo(JCommander main) {
    parser = main.getCommands().get("state");
    parser.addCommand("show", show);
    parser.addCommand("verify", verify);
    parser.addCommand("diff", diff);
  }

  /** Runs the selected subcommand; returns the exit code. */
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
    try (LockedDirectory directory = new LockedDirectory(Path.of(show.directory))) {
      found = new SnapshotStore(directory).loadNewest();
    } catch (IOException | InvalidPathException fault) {
      err.println("basaltlever: " + show.directory + " can't be read: " + fault);
      return ExitCode.MISUSED;
    }
    found.rejectedFiles().forEach(fault -> err.println("basaltlever: " + fault));
    LearnedState state = found.state();
    if (state == null) {
      err.println("basaltlever: " + show.directory + " holds no whole view");
      return ExitCode.MISUSED;
    }
    StateRestore restore =
        StateRestore.evaluate(
            state,
            state.deployment(),
            state.router(),
            SystemClocks.unixMicros(),
            SystemClocks.monotonicMicros(),
            SystemClocks.bootId());
    double weight = restore.rejection().isEmpty() ? StateDecay.weight(restore.age()) : 0;
    if (show.json) {
      writeJson(out, found.fileName(), state, restore, weight);
      return ExitCode.OK;
    }
    printTable(out, found.fileName(), state, restore, weight);
    return ExitCode.OK;
  }

  private static void printTable(
      PrintStream out, String fileName, LearnedState state, StateRestore restore, double weight) {
    out.printf(
        "%s, router '%s' of deployment '%s', list version %d%n",
        fileName, state.router(), state.deployment(), state.listVersion());
    out.println(
        restore.rejection().isEmpty()
            ? String.format("%.1f s old, weight %.4f", seconds(restore.age()), weight)
            : "counts for nothing: " + restore.rejection());
    out.printf(
        "%-24s %-24s %6s %9s %7s  %s%n", "node", "address", "group", "age_s", "weight", "learned");
    for (StoredEndpoint endpoint : state.endpoints()) {
      out.printf(
          "%-24s %-24s %6d %9.1f %7.4f  %s%n",
          printable(endpoint.id()),
          printable(endpoint.address()),
          endpoint.state().group(),
          seconds(restore.age()),
          weight,
          printable("" + learned(endpoint.state())));
    }
  }

  private static double seconds(Span span) {
    return span.micros() / 1e6;
  }

  /** Replaces control characters, as names are external data and must not control the terminal. */
  private static String printable(String text) {
    return text.replaceAll("\\p{Cntrl}", "?");
  }

  /**
   * Returns the learned values of an endpoint that are not defaults, by keys of docs/restart.md.
   */
  private static Map<String, Object> learned(EndpointState state) {
    Map<String, Object> learned = new LinkedHashMap<>();
    put(learned, "drains", state.draining(), true);
    put(learned, "primary", state.primary(), true);
    put(learned, "silent", state.unresponsive(), true);
    put(learned, "down_ms", state.downFor().micros() / 1_000, state.isDown());
    put(learned, "failing", rounded(state.failureRate()), state.failureRate() >= 0.001);
    put(learned, "strained", rounded(state.latencyStrain()), state.latencyStrain() >= 0.001);
    put(learned, "room", rounded(state.capacity()), true);
    put(learned, "turned_away", state.consecutiveRejections(), state.consecutiveRejections() > 0);
    put(
        learned,
        "rests_ms",
        state.remainingBackoff().micros() / 1_000,
        state.remainingBackoff().micros() > 0);
    put(learned, "lag_ms", state.lag().micros() / 1_000, state.lag().micros() >= 1_000);
    put(learned, "cold_spent", rounded(state.slowStartSpent()), state.slowStartSpent() > 0);
    return learned;
  }

  private static double rounded(double value) {
    return Math.round(value * 1_000) / 1_000.0;
  }

  private static void put(Map<String, Object> map, String name, Object value, boolean isShown) {
    if (isShown && !Boolean.FALSE.equals(value)) {
      map.put(name, value);
    }
  }

  private static void writeJson(
      PrintStream to, String name, LearnedState state, StateRestore restore, double weight)
      throws IOException {
    JsonFactory factory = new JsonFactory().disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
    try (JsonGenerator out = factory.createGenerator(to)) {
      out.writeStartObject();
      out.writeStringField("file", name);
      out.writeNumberField("number", state.sequence());
      out.writeStringField("deployment", state.deployment());
      out.writeStringField("router", state.router());
      out.writeNumberField("listed", state.listVersion());
      out.writeStringField("worthless", restore.rejection());
      out.writeNumberField("age_ms", restore.age().micros() / 1_000);
      out.writeNumberField("weight", weight);
      out.writeArrayFieldStart("nodes");
      for (StoredEndpoint endpoint : state.endpoints()) {
        writeEndpoint(out, endpoint, restore, weight);
      }
      out.writeEndArray();
      out.writeEndObject();
    }
    to.println();
  }

  private static void writeEndpoint(
      JsonGenerator out, StoredEndpoint endpoint, StateRestore restore, double weight)
      throws IOException {
    out.writeStartObject();
    out.writeStringField("id", endpoint.id());
    out.writeStringField("address", endpoint.address());
    out.writeNumberField("group", endpoint.state().group());
    out.writeNumberField("age_ms", restore.age().micros() / 1_000);
    out.writeNumberField("weight", weight);
    for (Map.Entry<String, Object> entry : learned(endpoint.state()).entrySet()) {
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
    before.values().forEach(endpoint -> printDifference(out, endpoint, after.get(endpoint.id())));
    after.values().stream()
        .filter(endpoint -> !before.containsKey(endpoint.id()))
        .forEach(
            endpoint ->
                out.println("+ " + printable(endpoint.id()) + " " + learned(endpoint.state())));
    return ExitCode.OK;
  }

  private static Map<String, StoredEndpoint> byId(LearnedState state) {
    Map<String, StoredEndpoint> endpoints = new TreeMap<>();
    state.endpoints().forEach(endpoint -> endpoints.put(endpoint.id(), endpoint));
    return endpoints;
  }

  /** Prints the differences of an endpoint; the later state is null if it was removed. */
  private static void printDifference(
      PrintStream out, StoredEndpoint before, StoredEndpoint after) {
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
