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
 * Tests the parsing and validation of the operator file, and that its documentation, its example
 * and the event reference match the program.
 */
class OperatorTest {
  static OperatorFile readOperatorFile(String text) throws IOException, InvalidSettingsException {
    Path path = Files.createTempFile("operator", ".ini");
    try {
      return OperatorFile.read(Files.writeString(path, text));
    } finally {
      Files.delete(path);
    }
  }

  private static String errorMessage(String text) throws IOException {
    try {
      readOperatorFile(text);
      return "";
    } catch (InvalidSettingsException exception) {
      return exception.getMessage();
    }
  }

  @Example
  void validFileYieldsItsValuesAndEmptyFileYieldsDefaults() throws Exception {
    OperatorFile empty = readOperatorFile("");
    check(
        empty.snapshotDirectory() == null
            && !empty.logsJson()
            && empty.snapshotPeriod().equals(Span.ofMillis(5_000))
            && empty.maxSnapshotBytes() == 4_096 * 1_024,
        "an empty file yields the defaults");
    OperatorFile full =
        readOperatorFile(
            "; c\n[state]\nfolder = /var/lib/a.b, c\nperiod_ms=250\ndeployment = east\n[log]\nform = json\n");
    check(
        full.snapshotDirectory().equals(Path.of("/var/lib/a.b, c"))
            && full.snapshotPeriod().equals(Span.ofMillis(250))
            && full.deployment().equals("east")
            && full.logsJson(),
        "the values of the file are read");
    check(
        full.changesNeedingRestart(empty).equals(List.of("log.form", "state.deployment")),
        "the log form and the deployment need a restart");
  }

  @Example
  void everyInvalidKeyIsReportedInOneMessageWithFileSectionAndKey() throws IOException {
    String message =
        errorMessage(
            "[state]\nfoldr = x\nperiod_ms = soon\nlargest_kb = 3\n[log]\nform = xml\n[limits]\na.b = 1\n");
    check(message.contains(".ini: [state] foldr is no key; did you mean [state] folder?"), message);
    check(
        message.contains("state.period_ms can't be read: soon; it takes a number from 100"),
        message);
    check(
        message.contains("state.largest_kb can't be read: 3")
            && message.contains("log.form can't be read: xml"),
        message);
    check(message.contains("[limits] a.b is no key; the nearest is ["), message);
    check(
        errorMessage("folder = x\n").contains("is no key"),
        "a key outside any section is rejected");
    check(
        errorMessage("[state]\nperiod_ms = 200\nperiod_ms = 300\n").contains("more than once"),
        "a repeated key is rejected");
    check(
        errorMessage("[state]\nfolder\n").contains("line 2 is neither"),
        "a line without a value is rejected");
  }

  private static Set<String> keys(String text, String pattern, String initialSection) {
    TreeSet<String> keys = new TreeSet<>();
    String section = initialSection;
    for (String line : text.split("\n")) {
      section = line.matches("\\[\\w+]") ? line.replaceAll("[\\[\\]]", "") : section;
      var matcher = Pattern.compile(pattern).matcher(line);
      if (matcher.find()) {
        keys.add(
            (section.isEmpty()
                ? matcher.group(1) + "." + matcher.group(2)
                : section + "." + matcher.group(1)));
      }
    }
    return keys;
  }

  @Example
  void documentationExampleFileAndParserHaveTheSameKeys() throws Exception {
    String example = Files.readString(Path.of("deploy/operator.ini"));
    Set<String> exampleKeys = keys(example, "^(\\w+) =", "none");
    Set<String> documentedKeys =
        keys(
            Files.readString(Path.of("docs/operator-file.md")),
            "^\\| `(\\w+)` \\| `(\\w+)` \\|",
            "");
    check(
        exampleKeys.equals(documentedKeys) && exampleKeys.size() >= 5,
        exampleKeys + " and " + documentedKeys);
    OperatorFile exampleFile = OperatorFile.read(Path.of("deploy/operator.ini"));
    check(
        exampleFile.changesNeedingRestart(readOperatorFile("")).isEmpty()
            && exampleFile.snapshotPeriod().equals(readOperatorFile("").snapshotPeriod())
            && exampleFile.maxSnapshotBytes() == readOperatorFile("").maxSnapshotBytes(),
        "the example contains the defaults");
    for (String key : exampleKeys) {
      String[] parts = key.split("\\.");
      check(
          errorMessage("[" + parts[0] + "]\n" + parts[1] + "x = 1\n").contains(parts[1] + "?"),
          "the parser suggests the key of the example");
    }
  }

  @Example
  void invalidFleetSettingsAreReportedWithTheirKey() throws IOException {
    String fleet =
        "[fleet]\nname = f\nfolder = /x\npeers = n1@127.0.0.1:1,n2@127.0.0.1:2,n3@127.0.0.1:3\n";
    String voters = "voters = n1@127.0.0.1:4\n";
    check(errorMessage(fleet + voters).isEmpty(), "a single voter is accepted");
    check(
        errorMessage(fleet + "voters = n1@127.0.0.1:4,n2@127.0.0.1:5\n").contains("half is no"),
        "two voters are rejected");
    check(
        errorMessage(fleet + "voters = n9@127.0.0.1:4\n").contains("names n9"),
        "a voter that is not a peer is rejected");
    check(
        errorMessage(fleet + "voters = n1\n").contains("NAME@ADDRESS:PORT"),
        "a voter without an address is rejected");
    check(
        errorMessage(fleet + voters + "stated_ms = 5000\nassigned_ms = 4000\n")
            .contains("fleet.assigned_ms is 4000"),
        "assigned_ms below stated_ms is rejected: a short interruption would remove all endpoints from a router");
    check(
        errorMessage(fleet + voters + "lease_ms = 800\n").contains("less than twice"),
        "stated_ms below twice lease_ms is rejected: a lease could not end in time");
    check(
        errorMessage(fleet.replace("folder = /x", "folder =") + voters).contains("fleet.folder"),
        "a missing folder is rejected");
    check(
        errorMessage(fleet.replace("n2@", "n1@") + voters).contains("twice"),
        "a duplicate peer name is rejected");
  }

  @Example
  void eventDocumentationListsEachEventWithItsFields() throws IOException {
    String page = Files.readString(Path.of("docs/events.md"));
    for (Event event : Event.values()) {
      String row = "| `" + event.key + "` | `" + String.join("`, `", event.fields) + "` |";
      check(page.contains(row), row);
    }
    check(
        page.lines().filter(line -> line.startsWith("| `")).count() == Event.values().length,
        "the page lists no other events");
  }
}
