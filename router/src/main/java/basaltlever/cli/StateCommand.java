package basaltlever.cli;

import basaltlever.snapshot.EndpointState;
import basaltlever.snapshot.KnownEndpoint;
import basaltlever.snapshot.LearnedState;
import basaltlever.snapshot.StateDecay;
import basaltlever.snapshot.StateRestore;
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
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What a folder holds, for people and scripts. It never writes there and takes no lock. */
final class StateCommand {
  private static final int MISUSED = 2;

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
  private JCommander line;

  void joins(JCommander above) {
    line = above.getCommands().get("state");
    line.addCommand("show", show);
    line.addCommand("verify", verify);
    line.addCommand("diff", diff);
  }

  /** The exit code. */
  int run(PrintStream out, PrintStream errors) throws IOException {
    String command = line.getParsedCommand();
    switch (command == null ? "" : command) {
      case "show" -> {
        return show(out, errors);
      }
      case "verify" -> {
        int code = 0;
        for (String file : verify.files) {
          LearnedState view = read(file, errors);
          code = view == null ? MISUSED : code;
          if (view != null) {
            out.println(
                file
                    + " is whole: number "
                    + view.number()
                    + ", "
                    + view.nodes().size()
                    + " nodes");
          }
        }
        return code;
      }
      case "diff" -> {
        return diff(out, errors);
      }
      default -> {
        line.usage();
        return MISUSED;
      }
    }
  }

  private static LearnedState read(String file, PrintStream errors) {
    try {
      return SnapshotCodec.read(LockedDirectory.read(Path.of(file), SnapshotCodec.LARGEST));
    } catch (InvalidSnapshotException | IOException | RuntimeException fault) {
      errors.println("basaltlever: " + file + ": " + fault.getMessage());
      return null;
    }
  }

  private int show(PrintStream out, PrintStream errors) throws IOException {
    SnapshotStore.Found found;
    try (LockedDirectory folder = new LockedDirectory(Path.of(show.folder))) {
      found = new SnapshotStore(folder).newest();
    } catch (IOException | RuntimeException fault) {
      errors.println("basaltlever: " + show.folder + " can't be read: " + fault);
      return MISUSED;
    }
    found.rejected().forEach(fault -> errors.println("basaltlever: " + fault));
    LearnedState view = found.view();
    if (view == null) {
      errors.println("basaltlever: " + show.folder + " holds no whole view");
      return MISUSED;
    }
    StateRestore now =
        StateRestore.of(
            view,
            view.deployment(),
            view.router(),
            SystemClocks.now(),
            SystemClocks.steady(),
            SystemClocks.boot());
    double weight = now.rejection().isEmpty() ? StateDecay.weight(now.age()) : 0;
    if (show.json) {
      json(out, found.name(), view, now, weight);
      return 0;
    }
    out.printf(
        "%s, router '%s' of deployment '%s', list version %d%n",
        found.name(), view.router(), view.deployment(), view.listed());
    out.println(
        now.rejection().isEmpty()
            ? String.format("%.1f s old, weight %.4f", now.age().micros() / 1e6, weight)
            : "counts for nothing: " + now.rejection());
    out.printf(
        "%-24s %-24s %6s %9s %7s  %s%n", "node", "address", "group", "age_s", "weight", "learned");
    for (KnownEndpoint known : view.nodes()) {
      out.printf(
          "%-24s %-24s %6d %9.1f %7.4f  %s%n",
          printable(known.id()),
          printable(known.address()),
          known.view().group(),
          now.age().micros() / 1e6,
          weight,
          printable("" + learned(known.view())));
    }
    return 0;
  }

  /** Names come from whoever serves the list: nothing of them steers the terminal. */
  private static String printable(String text) {
    return text.replaceAll("\\p{Cntrl}", "?");
  }

  /** What a view says of a node beyond what is usual, in the words of docs/restart.md. */
  private static Map<String, Object> learned(EndpointState view) {
    Map<String, Object> learned = new LinkedHashMap<>();
    put(learned, "drains", view.drains(), true);
    put(learned, "primary", view.primary(), true);
    put(learned, "silent", view.silent(), true);
    put(learned, "down_ms", view.downFor().micros() / 1_000, view.isDown());
    put(learned, "failing", rounded(view.failing()), view.failing() >= 0.001);
    put(learned, "strained", rounded(view.strained()), view.strained() >= 0.001);
    put(learned, "room", rounded(view.room()), true);
    put(learned, "turned_away", view.turnedAway(), view.turnedAway() > 0);
    put(learned, "rests_ms", view.rests().micros() / 1_000, view.rests().micros() > 0);
    put(learned, "lag_ms", view.lag().micros() / 1_000, view.lag().micros() >= 1_000);
    put(learned, "cold_spent", rounded(view.coldSpent()), view.coldSpent() > 0);
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
      out.writeNumberField("number", view.number());
      out.writeStringField("deployment", view.deployment());
      out.writeStringField("router", view.router());
      out.writeNumberField("listed", view.listed());
      out.writeStringField("worthless", now.rejection());
      out.writeNumberField("age_ms", now.age().micros() / 1_000);
      out.writeNumberField("weight", weight);
      out.writeArrayFieldStart("nodes");
      for (KnownEndpoint known : view.nodes()) {
        out.writeStartObject();
        out.writeStringField("id", known.id());
        out.writeStringField("address", known.address());
        out.writeNumberField("group", known.view().group());
        out.writeNumberField("age_ms", now.age().micros() / 1_000);
        out.writeNumberField("weight", weight);
        for (Map.Entry<String, Object> entry : learned(known.view()).entrySet()) {
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
      out.writeEndArray();
      out.writeEndObject();
    }
    to.println();
  }

  private int diff(PrintStream out, PrintStream errors) {
    if (diff.files.size() != 2) {
      errors.println("basaltlever: state diff takes two files");
      return MISUSED;
    }
    LearnedState a = read(diff.files.get(0), errors);
    LearnedState b = read(diff.files.get(1), errors);
    if (a == null || b == null) {
      return MISUSED;
    }
    out.printf(
        "number %d to %d, %.1f s apart%n",
        a.number(), b.number(), new Span(b.writtenAt() - a.writtenAt()).micros() / 1e6);
    Map<String, KnownEndpoint> before = new TreeMap<>();
    a.nodes().forEach(known -> before.put(known.id(), known));
    Map<String, KnownEndpoint> after = new TreeMap<>();
    b.nodes().forEach(known -> after.put(known.id(), known));
    for (KnownEndpoint known : before.values()) {
      KnownEndpoint other = after.get(known.id());
      if (other == null) {
        out.println("- " + printable(known.id()) + " " + learned(known.view()));
      } else if (!known.address().equals(other.address())
          || !learned(known.view()).equals(learned(other.view()))) {
        out.println(
            "  "
                + printable(known.id() + " " + known.address())
                + " "
                + learned(known.view())
                + " to "
                + printable(other.address())
                + " "
                + learned(other.view()));
      }
    }
    after.values().stream()
        .filter(known -> !before.containsKey(known.id()))
        .forEach(known -> out.println("+ " + printable(known.id()) + " " + learned(known.view())));
    return 0;
  }
}
