package basaltlever;

import static basaltlever.LoadBalancerHarness.check;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.Example;

/** Tests the script that ignores failures of tests listed as known to fail, and no others. */
class KnownRedTest {
  private static final String FAILING_TEST = "basaltlever.ATest#isRed";
  private static final String REPORT =
      """
        <?xml version="1.0" encoding="UTF-8"?>
        <testsuite name="basaltlever.ATest" tests="4" failures="%d">
          <properties><property name="a" value="b"/></properties>
          <testcase name="isGreen" classname="basaltlever.ATest" time="0.1"/>
          <testcase name="isRed" classname="basaltlever.ATest" time="0.1">%s</testcase>
          <testcase name="isOther" classname="basaltlever.ATest" time="0.1">%s
            <system-out><![CDATA[said <b>this</b>]]></system-out>
          </testcase>
          <testcase name="isLast" classname="basaltlever.ATest" time="0.1"/>
        </testsuite>
        """;
  private static final String FAILURE =
      "<failure message=\"x\" type=\"y\"><![CDATA[at z]]></failure>";

  private static String runScript(String entries, String failingResult, String otherResult)
      throws IOException, InterruptedException {
    return runScript(entries, failingResult, otherResult, "ATest");
  }

  /** Runs the script with the given compiled test classes, each of which should have a report. */
  private static String runScript(
      String entries, String failingResult, String otherResult, String... classes)
      throws IOException, InterruptedException {
    Path parent = Files.createTempDirectory("known");
    Path reports = Files.createDirectory(parent.resolve("surefire-reports"));
    Path testClasses = Files.createDirectories(parent.resolve("test-classes/basaltlever"));
    try {
      for (String name : classes) {
        Files.createFile(testClasses.resolve(name + ".class"));
      }
      Files.writeString(reports.resolve("KNOWN-RED.txt"), entries);
      Files.writeString(
          reports.resolve("TEST-basaltlever.ATest.xml"),
          REPORT.formatted(1, failingResult, otherResult));
      Path script = Path.of("").toAbsolutePath();
      while (!Files.exists(script.resolve(".ci/known-red"))) {
        script = script.getParent();
      }
      Process process =
          new ProcessBuilder(
                  List.of(
                      "bash",
                      script.resolve(".ci/known-red").toString(),
                      reports.resolve("KNOWN-RED.txt").toString(),
                      reports.toString()))
              .redirectErrorStream(true)
              .start();
      String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      return process.waitFor() + " " + output;
    } finally {
      try (var files = Files.walk(parent)) {
        for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
          Files.delete(file);
        }
      }
    }
  }

  private static final String ENTRY = FAILING_TEST + " | mvn test, seed 5 | what was seen | 34\n";

  @Example
  void onlyListedFailuresAreIgnoredAndResultsArePrinted() throws Exception {
    check(
        runScript(ENTRY, FAILURE, "")
            .equals("0 known red: " + FAILING_TEST + " failed (issue 34)\n"),
        "expected the listed failure to be printed and ignored");
    String passed = runScript(ENTRY, "", "");
    check(passed.startsWith("0 known red: " + FAILING_TEST + " passed (issue 34)\n"), passed);
    check(passed.contains(FAILING_TEST + " passed this time"), passed);
    String other = runScript(ENTRY, FAILURE, "<error type=\"y\">at z</error>");
    check(
        other.startsWith("1 ") && other.contains("failed and not known: basaltlever.ATest#isOther"),
        other);
    check(runScript("\n", "", "").equals("0 "), "expected success without entries and failures");
    check(
        runScript("\n", FAILURE, "").startsWith("1 "),
        "expected an unlisted failure to fail the build");
  }

  @Example
  void multiLineAndMultipleEntriesAreAccepted() throws Exception {
    String multiLineEntry = FAILING_TEST + " | mvn test,\n  seed 5 | what was\n  seen | 34\n";
    check(
        runScript(multiLineEntry, FAILURE, "")
            .startsWith("0 known red: " + FAILING_TEST + " failed"),
        "expected an entry over several lines to be accepted");
    StringBuilder entries = new StringBuilder(ENTRY);
    for (String name : List.of("isOther", "isGreen", "isLast")) {
      entries.append("basaltlever.ATest#").append(name).append(" | mvn test | seen | 35\n");
    }
    String output = runScript(entries.toString(), FAILURE, FAILURE);
    check(output.startsWith("0 ") && output.contains("#isLast passed"), output);
  }

  @Example
  void testClassWithoutReportFails() throws Exception {
    String output = runScript(ENTRY, FAILURE, "", "ATest", "BrokeOffTest");
    check(
        output.startsWith("1 ") && output.contains("basaltlever.BrokeOffTest has no report"),
        output);
  }

  @Example
  void malformedEntryIsRejected() throws Exception {
    for (String entry :
        List.of(
            FAILING_TEST + "\n",
            FAILING_TEST + " | cause | 34\n",
            FAILING_TEST + " | | seen | 34\n",
            FAILING_TEST + " | mvn test | | 34\n",
            FAILING_TEST + " | mvn test | seen | \n",
            FAILING_TEST + " | mvn test | seen | 34 | more\n",
            "basaltlever.ATest | mvn test | seen | 34\n",
            "basaltlever.ATest#isGone | mvn test | seen | 34\n",
            ENTRY.repeat(2))) {
      String output = runScript(entry, FAILURE, "");
      check(output.startsWith("2 ") && output.contains("known-red: "), entry + " got " + output);
    }
  }
}
