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

/** The start file: what is read, and one line for each faulty key. */
class StartTest {
  private static final String SOUND = LoopbackCluster.startFile(5432, 8500, "[]");

  private static String faults(String text) {
    try {
      StartFile.of(text);
    } catch (InvalidSettingsException fault) {
      return fault.getMessage();
    }
    return "";
  }

  @Example
  void aSoundFileGivesItsValues() throws InvalidSettingsException {
    StartFile file = StartFile.of(SOUND);
    check(file.listen().getPort() == 5432 && file.discovery().getPort() == 8500, "addresses");
    check(file.seed() == 0x8c1f30d27a5be964L && file.maxDescriptors() == 200, "seed and limits");
    check(file.startValues().workloadNames().get(1).equals("post"), "workloads");
    check(file.startValues().idleClose().equals(Span.ofMillis(2_000)), "spans are microseconds");
  }

  @Example
  void eachFaultNamesItsKeyAndAllAreToldAtOnce() {
    String many =
        faults(
            SOUND
                .replace("\"Balancers\":2", "\"Balancers\":\"two\"")
                .replace("\"Repeat\":\"at_most_once\"", "\"Repeat\":\"seldom\"")
                .replace("\"Rules\"", "\"Rulez\"")
                .replace("\"listen\":\"127.0.0.1:5432\"", "\"listen\":\"localhost:5432\""));
    check(
        many.contains("settings.Balancers can't be read: two; it takes a number from 1"),
        "a wrong type");
    check(
        many.contains("settings.Classes.1.Repeat can't be read: seldom; it takes idempotent"),
        "a word");
    check(many.contains("settings.Rules.Cold is missing"), "a missing key");
    check(
        many.contains("listen can't be read: localhost:5432; it takes ADDRESS:PORT"), "an address");
    check(
        faults(SOUND.replace("\"sockets\":200", "\"sockets\":3")).contains("limits.sockets"),
        "a range");
    check(faults(SOUND.replace("8c1f", "xyz")).contains("seed can't be read"), "a seed");
    check(
        faults(SOUND.replace("\"Checks\":\"wait\"", "\"Checks\":true"))
            .contains("settings.FamilyInfo.Checks can't be read: true"),
        "a flag for a word");
    check(faults("{\"listen\":1}").contains("settings is missing"), "no settings");
    check(faults("[]").contains("no JSON object") && faults("{").contains("no JSON"), "no object");
    check(faults("").contains("no JSON"), "an empty file");
  }

  @Example
  void onSocketsTheListIsWatchedEvenWhereItIsPushed() throws InvalidSettingsException {
    String pushed =
        SOUND.replace("\"on_request\"", "\"pushed\"").replace(",\n   \"MustAskIn\":10000000", "");
    LoopbackCluster.RecordingEffects outside = new LoopbackCluster.RecordingEffects();
    StatementRouter<String> core =
        new StatementRouter<>(
            outside, StartFile.of(pushed).startValues().loadBalancerFactory(1, new Moment(0)));
    core.onTimerFired(new Moment(0));
    check(outside.calls.equals(List.of("watch")), "asked for at once");
  }

  @Example
  void filesThatCannotBeReadAreNamed() {
    for (String path : new String[] {"target", "target/nowhere/file"}) {
      try {
        StartFile.read(Path.of(path));
        check(false, "read: " + path);
      } catch (InvalidSettingsException fault) {
        check(fault.getMessage().contains(path), "the path");
      }
    }
  }
}
