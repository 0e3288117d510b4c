package basaltlever;

import static basaltlever.LoadBalancerHarness.check;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.Example;

/** What passes over tests that are known to fail passes over nothing else. */
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

  private static String runScript(String known, String red, String other)
      throws IOException, InterruptedException {
    return runScript(known, red, other, "ATest");
  }

  /** The classes are those that were to run, whatever became of them. */
  private static String runScript(String known, String red, String other, String... classes)
      throws IOException, InterruptedException {
    Path above = Files.createTempDirectory("known");
    Path folder = Files.createDirectory(above.resolve("surefire-reports"));
    Path built = Files.createDirectories(above.resolve("test-classes/basaltlever"));
    try {
      for (String name : classes) {
        Files.createFile(built.resolve(name + ".class"));
      }
      Files.writeString(folder.resolve("KNOWN-RED.txt"), known);
      Files.writeString(
          folder.resolve("TEST-basaltlever.ATest.xml"), REPORT.formatted(1, red, other));
      Path script = Path.of("").toAbsolutePath();
      while (!Files.exists(script.resolve(".ci/known-red"))) {
        script = script.getParent();
      }
      Process judge =
          new ProcessBuilder(
                  List.of(
                      "bash",
                      script.resolve(".ci/known-red").toString(),
                      folder.resolve("KNOWN-RED.txt").toString(),
                      folder.toString()))
              .redirectErrorStream(true)
              .start();
      String said = new String(judge.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      return judge.waitFor() + " " + said;
    } finally {
      try (var files = Files.walk(above)) {
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
        "it failed");
    String passed = runScript(ENTRY, "", "");
    check(passed.startsWith("0 known red: " + FAILING_TEST + " passed (issue 34)\n"), passed);
    check(passed.contains(FAILING_TEST + " passed this time"), passed);
    String other = runScript(ENTRY, FAILURE, "<error type=\"y\">at z</error>");
    check(
        other.startsWith("1 ") && other.contains("failed and not known: basaltlever.ATest#isOther"),
        other);
    check(runScript("\n", "", "").equals("0 "), "none is known");
    check(runScript("\n", FAILURE, "").startsWith("1 "), "and one fails");
  }

  @Example
  void multiLineAndMultipleEntriesAreAccepted() throws Exception {
    String spread = FAILING_TEST + " | mvn test,\n  seed 5 | what was\n  seen | 34\n";
    check(
        runScript(spread, FAILURE, "").startsWith("0 known red: " + FAILING_TEST + " failed"),
        "spread");
    StringBuilder many = new StringBuilder(ENTRY);
    for (String name : List.of("isOther", "isGreen", "isLast")) {
      many.append("basaltlever.ATest#").append(name).append(" | mvn test | seen | 35\n");
    }
    String said = runScript(many.toString(), FAILURE, FAILURE);
    check(said.startsWith("0 ") && said.contains("#isLast passed"), said);
  }

  @Example
  void testClassWithoutReportFails() throws Exception {
    String said = runScript(ENTRY, FAILURE, "", "ATest", "BrokeOffTest");
    check(said.startsWith("1 ") && said.contains("basaltlever.BrokeOffTest has no report"), said);
  }

  @Example
  void malformedEntryIsRejected() throws Exception {
    for (String bad :
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
      String said = runScript(bad, FAILURE, "");
      check(said.startsWith("2 ") && said.contains("known-red: "), bad + " got " + said);
    }
  }
}
