package basaltlever;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.config.InvalidSettingsException;
import basaltlever.config.OperatorFile;
import basaltlever.log.Event;
import basaltlever.time.Span;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import net.jqwik.api.Example;

/**
 * The operator's file: what is read, what is refused, and that its pages and its example tell the
 * truth.
 */
class OperatorTest {
  static OperatorFile file(String text) throws IOException, InvalidSettingsException {
    Path path = Files.createTempFile("operator", ".ini");
    try {
      return OperatorFile.read(Files.writeString(path, text));
    } finally {
      Files.delete(path);
    }
  }

  private static String faults(String text) throws IOException {
    try {
      file(text);
      return "";
    } catch (InvalidSettingsException fault) {
      return fault.getMessage();
    }
  }

  @Example
  void aSoundFileGivesItsValuesAndAnEmptyOneTheDefaults() throws Exception {
    OperatorFile empty = file("");
    check(
        empty.folder() == null
            && !empty.logsJson()
            && empty.snapshotPeriod().equals(Span.ofMillis(5_000))
            && empty.maxSnapshotBytes() == 4_096 * 1_024,
        "defaults");
    OperatorFile full =
        file(
            "; c\n[state]\nfolder = /var/lib/a.b, c\nperiod_ms=250\ndeployment = east\n[log]\nform = json\n");
    check(
        full.folder().equals(Path.of("/var/lib/a.b, c"))
            && full.snapshotPeriod().equals(Span.ofMillis(250))
            && full.deployment().equals("east")
            && full.logsJson(),
        "values");
    check(
        full.changesNeedingRestart(empty).equals(List.of("log.form", "state.deployment")),
        "what needs a restart");
  }

  @Example
  void eachFaultIsNamedByFileSectionAndKeyAndAllAtOnce() throws IOException {
    String many =
        faults(
            "[state]\nfoldr = x\nperiod_ms = soon\nlargest_kb = 3\n[log]\nform = xml\n[limits]\na.b = 1\n");
    check(many.contains(".ini: [state] foldr is no key; did you mean [state] folder?"), many);
    check(many.contains("state.period_ms can't be read: soon; it takes a number from 100"), many);
    check(
        many.contains("state.largest_kb can't be read: 3")
            && many.contains("log.form can't be read: xml"),
        many);
    check(many.contains("[limits] a.b is no key; the nearest is ["), many);
    check(faults("folder = x\n").contains("is no key"), "outside of any section");
    check(
        faults("[state]\nperiod_ms = 200\nperiod_ms = 300\n").contains("more than once"), "twice");
    check(faults("[state]\nfolder\n").contains("line 2 is neither"), "no value");
  }

  private static Set<String> keys(String text, String pattern, String from) {
    TreeSet<String> keys = new TreeSet<>();
    String section = from;
    for (String line : text.split("\n")) {
      section = line.matches("\\[\\w+]") ? line.replaceAll("[\\[\\]]", "") : section;
      var found = Pattern.compile(pattern).matcher(line);
      if (found.find()) {
        keys.add(
            (section.isEmpty()
                ? found.group(1) + "." + found.group(2)
                : section + "." + found.group(1)));
      }
    }
    return keys;
  }

  @Example
  void thePageTheExampleAndTheReaderNameTheSameKeys() throws Exception {
    String example = Files.readString(Path.of("deploy/operator.ini"));
    Set<String> shown = keys(example, "^(\\w+) =", "none");
    Set<String> told =
        keys(
            Files.readString(Path.of("docs/operator-file.md")),
            "^\\| `(\\w+)` \\| `(\\w+)` \\|",
            "");
    check(shown.equals(told) && shown.size() >= 5, shown + " and " + told);
    OperatorFile read = OperatorFile.read(Path.of("deploy/operator.ini"));
    check(
        read.changesNeedingRestart(file("")).isEmpty()
            && read.snapshotPeriod().equals(file("").snapshotPeriod())
            && read.maxSnapshotBytes() == file("").maxSnapshotBytes(),
        "the example shows the defaults");
    for (String key : shown) {
      String[] parts = key.split("\\.");
      check(
          faults("[" + parts[0] + "]\n" + parts[1] + "x = 1\n").contains(parts[1] + "?"),
          "a key of the reader");
    }
  }

  @Example
  void aFleetThatCanNotWorkIsNamedKeyByKey() throws IOException {
    String fleet =
        "[fleet]\nname = f\nfolder = /x\npeers = n1@127.0.0.1:1,n2@127.0.0.1:2,n3@127.0.0.1:3\n";
    String voters = "voters = n1@127.0.0.1:4\n";
    check(faults(fleet + voters).isEmpty(), "one voter is a fleet");
    check(
        faults(fleet + "voters = n1@127.0.0.1:4,n2@127.0.0.1:5\n").contains("half is no"),
        "two voters");
    check(
        faults(fleet + "voters = n9@127.0.0.1:4\n").contains("names n9"),
        "a voter that is no peer");
    check(faults(fleet + "voters = n1\n").contains("NAME@ADDRESS:PORT"), "a voter without a place");
    check(
        faults(fleet + voters + "stated_ms = 5000\nassigned_ms = 4000\n")
            .contains("fleet.assigned_ms is 4000"),
        "each cut would take all members");
    check(
        faults(fleet + voters + "lease_ms = 800\n").contains("less than twice"),
        "no time to be over");
    check(
        faults(fleet.replace("folder = /x", "folder =") + voters).contains("fleet.folder"),
        "no folder");
    check(faults(fleet.replace("n2@", "n1@") + voters).contains("twice"), "a name given twice");
  }

  @Example
  void thePageOfEventsNamesEachWithItsFields() throws IOException {
    String page = Files.readString(Path.of("docs/events.md"));
    for (Event event : Event.values()) {
      String row = "| `" + event.key + "` | `" + String.join("`, `", event.fields) + "` |";
      check(page.contains(row), row);
    }
    check(
        page.lines().filter(line -> line.startsWith("| `")).count() == Event.values().length,
        "no more");
  }
}
