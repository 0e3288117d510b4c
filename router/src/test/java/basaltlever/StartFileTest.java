package basaltlever;

import static basaltlever.StandIn.check;

import basaltlever.config.InvalidSettingsException;
import basaltlever.config.StartFile;
import basaltlever.core.StatementRouter;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.Example;

/** The start file: what is read, and one line for each faulty key. */
class StartFileTest {
  private static final String VALID_START_FILE = SocketWorld.startFile(5432, 8500, "[]");

  private static String errorMessage(String text) {
    try {
      StartFile.of(text);
    } catch (InvalidSettingsException exception) {
      return exception.getMessage();
    }
    return "";
  }

  @Example
  void validFileYieldsItsValues() throws InvalidSettingsException {
    StartFile file = StartFile.of(VALID_START_FILE);
    check(file.listen().getPort() == 5432 && file.discovery().getPort() == 8500, "addresses");
    check(file.seed() == 0x8c1f30d27a5be964L && file.maxDescriptors() == 200, "seed and limits");
    check(file.startValues().workloadNames().get(1).equals("post"), "workloads");
    check(file.startValues().idleClose().equals(Span.ofMillis(2_000)), "spans are microseconds");
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
        "a wrong type");
    check(
        message.contains("settings.Classes.1.Repeat can't be read: seldom; it takes idempotent"),
        "a word");
    check(message.contains("settings.Rules.Cold is missing"), "a missing key");
    check(
        message.contains("listen can't be read: localhost:5432; it takes ADDRESS:PORT"),
        "an address");
    check(
        errorMessage(VALID_START_FILE.replace("\"sockets\":200", "\"sockets\":3"))
            .contains("limits.sockets"),
        "a range");
    check(
        errorMessage(VALID_START_FILE.replace("8c1f", "xyz")).contains("seed can't be read"),
        "a seed");
    check(
        errorMessage(VALID_START_FILE.replace("\"Checks\":\"wait\"", "\"Checks\":true"))
            .contains("settings.FamilyInfo.Checks can't be read: true"),
        "a flag for a word");
    check(errorMessage("{\"listen\":1}").contains("settings is missing"), "no settings");
    check(
        errorMessage("[]").contains("no JSON object") && errorMessage("{").contains("no JSON"),
        "no object");
    check(errorMessage("").contains("no JSON"), "an empty file");
  }

  @Example
  void pushedListIsWatchedOnSockets() throws InvalidSettingsException {
    String pushed =
        VALID_START_FILE
            .replace("\"on_request\"", "\"pushed\"")
            .replace(",\n   \"MustAskIn\":10000000", "");
    SocketWorld.Silent effects = new SocketWorld.Silent();
    StatementRouter<String> core =
        new StatementRouter<>(
            effects, StartFile.of(pushed).startValues().loadBalancerFactory(1, new Moment(0)));
    core.onTimerFired(new Moment(0));
    check(effects.told.equals(List.of("watch")), "asked for at once");
  }

  @Example
  void unreadableFileIsReportedWithItsPath() {
    for (String path : new String[] {"target", "target/nowhere/file"}) {
      try {
        StartFile.read(Path.of(path));
        check(false, "read: " + path);
      } catch (InvalidSettingsException exception) {
        check(exception.getMessage().contains(path), "the path");
      }
    }
  }
}
