package basaltlever.lab.endtoend;

import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;

/** Router processes with more simulated servers than descriptors, and with long server lists. */
class ManyServersTest {
  private static final long SEED = 38;

  private static void check(boolean condition, String message) {
    if (!condition) {
      throw new AssertionError(message);
    }
  }

  private static Map<String, Object> runWith(String... options) throws Exception {
    RunOptions parsed = RunOptions.parse(List.of(options));
    try (ManyServersRun run = new ManyServersRun(parsed, SEED, null)) {
      return run.run();
    }
  }

  private static double number(Map<String, Object> figures, String key) {
    return ((Number) figures.get(key)).doubleValue();
  }

  @Example
  void statementsAreAnsweredWhenServersOutnumberDescriptors() throws Exception {
    Map<String, Object> figures = runWith("servers=720", "sockets=160", "seconds=5");
    check(number(figures, "statements") > 80, "more than 80 statements: " + figures);
    check(number(figures, "lost") == 0, "no statement is lost: " + figures);
    check(
        number(figures, "descriptors_most") <= 160,
        "the descriptor limit is not exceeded: " + figures);
  }

  @Example
  void connectionsAndDescriptorsScaleWithTrafficNotListSize() throws Exception {
    Map<String, Object> few = runWith("servers=120", "seconds=5", "drain_share=0");
    Map<String, Object> many = runWith("servers=1200", "seconds=5", "drain_share=0");
    check(
        number(many, "connections") <= 2.5 * number(few, "connections") + 40,
        "connections do not grow with the list: " + few + many);
    check(
        number(many, "descriptors_max") <= 2 * number(few, "descriptors_max") + 40,
        "descriptors do not grow with the list: " + few + many);
    check(
        number(many, "served_share") >= 0.85 * number(few, "served_share"),
        "the served share is at least 85 % of that with few servers: " + few + many);
  }

  @Example
  void drainsTakeEffectBeforeTheirListIsComplete() throws Exception {
    // Writing a change of 600 entries takes 1.2 s; each entry takes effect as soon as its own last
    // byte is written.
    Map<String, Object> figures =
        runWith(
            "servers=720",
            "sockets=1024",
            "seconds=6",
            "rate=100",
            "drain_share=1",
            "remove_share=0",
            "list_piece_bytes=1000",
            "list_piece_ms=10");
    check(number(figures, "statements") > 300, "more than 300 statements: " + figures);
    check(
        number(figures, "drain_late") == 0,
        "no attempt goes to a draining server after the grace time: " + figures);
  }
}
