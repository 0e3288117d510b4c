package basaltlever;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.config.InvalidSettingsException;
import basaltlever.config.StartFile;
import basaltlever.core.StatementRouter;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.Example;

/** Tests the parsing of the start file and its error report with one line for each invalid key. */
class StartFileTest {
  private static final String VALID_START_FILE = LoopbackCluster.startFile(5432, 8500, "[]");

  private static String errorMessage(String text) {
    try {
      StartFile.parse(text);
    } catch (InvalidSettingsException exception) {
      return exception.getMessage();
    }
    return "";
  }

  @Example
  void validFileYieldsItsValues() throws InvalidSettingsException {
    StartFile file = StartFile.parse(VALID_START_FILE);
    check(
        file.listen().getPort() == 5432 && file.discovery().getPort() == 8500,
        "the addresses are read");
    check(
        file.seed() == 0x8c1f30d27a5be964L && file.maxDescriptors() == 200,
        "the seed and the limits are read");
    check(file.startValues().workloadNames().get(1).equals("post"), "the workloads are read");
    check(
        file.startValues().settings().poolSettings().idleTimeout().equals(Span.ofMillis(2_000)),
        "durations are read as microseconds");
  }

  @Example
  void allInvalidKeysAreReportedInOneMessage() {
    String message =
        errorMessage(
            VALID_START_FILE
                .replace("\"Balancers\":2", "\"Balancers\":\"two\"")
                .replace("\"Repeat\":\"at_most_once\"", "\"Repeat\":\"seldom\"")
                .replace("\"Rules\"", "\"Rulez\"")
                .replace("\"listen\":\"127.0.0.1:5432\"", "\"listen\":\"localhost:5432\""));
    check(
        message.contains("settings.Balancers can't be read: two; it takes a number from 1"),
        "a value of the wrong type is reported");
    check(
        message.contains("settings.Classes.1.Repeat can't be read: seldom; it takes idempotent"),
        "an unknown word is reported with the allowed ones");
    check(message.contains("settings.Rules.Cold is missing"), "a missing key is reported");
    check(
        message.contains("listen can't be read: localhost:5432; it takes ADDRESS:PORT"),
        "an invalid address is reported");
    check(
        errorMessage(VALID_START_FILE.replace("\"sockets\":200", "\"sockets\":3"))
            .contains("limits.sockets"),
        "a value out of range is reported");
    check(
        errorMessage(VALID_START_FILE.replace("8c1f", "xyz")).contains("seed can't be read"),
        "an invalid seed is reported");
    check(
        errorMessage(VALID_START_FILE.replace("\"Checks\":\"wait\"", "\"Checks\":true"))
            .contains("settings.FamilyInfo.Checks can't be read: true"),
        "a boolean in place of a word is reported");
    check(
        errorMessage("{\"listen\":1}").contains("settings is missing"),
        "missing settings are reported");
    check(
        errorMessage("[]").contains("no JSON object") && errorMessage("{").contains("no JSON"),
        "a file that is not a JSON object is reported");
    check(errorMessage("").contains("no JSON"), "an empty file is reported");
  }

  @Example
  void pushedListIsWatchedOnSockets() throws InvalidSettingsException {
    String pushed =
        VALID_START_FILE
            .replace("\"on_request\"", "\"pushed\"")
            .replace(",\n   \"MustAskIn\":10000000", "");
    LoopbackCluster.RecordingEffects effects = new LoopbackCluster.RecordingEffects();
    StatementRouter<String> core =
        new StatementRouter<>(
            effects, StartFile.parse(pushed).startValues().loadBalancerFactory(1, new Moment(0)));
    core.onTimerFired(new Moment(0));
    check(effects.calls.equals(List.of("watch")), "the list is requested on the first timer");
  }

  @Example
  void unreadableFileIsReportedWithItsPath() {
    for (String path : new String[] {"target", "target/nowhere/file"}) {
      try {
        StartFile.read(Path.of(path));
        check(false, "expected rejection of: " + path);
      } catch (InvalidSettingsException exception) {
        check(exception.getMessage().contains(path), "the message names the path");
      }
    }
  }
}
