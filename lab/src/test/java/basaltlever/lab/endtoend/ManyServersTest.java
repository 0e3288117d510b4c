package basaltlever.lab.endtoend;

import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;

/**
 * Routers as processes among more simulated servers than they have descriptors; the ledger judges.
 */
class ManyServersTest {
  private static final long SEED = 38;

  private static void check(boolean holds, String what) {
    if (!holds) {
      throw new AssertionError(what);
    }
  }

  private static Map<String, Object> play(String... options) throws Exception {
    DayOptions day = DayOptions.parse(List.of(options));
    try (ManyServersDay played = new ManyServersDay(day, SEED, null)) {
      return played.play();
    }
  }

  private static double number(Map<String, Object> figures, String key) {
    return ((Number) figures.get(key)).doubleValue();
  }

  @Example
  void statementsAreAnsweredWhereServersOutnumberDescriptors() throws Exception {
    Map<String, Object> told = play("servers=720", "sockets=160", "seconds=5");
    check(number(told, "statements") > 80, "there was traffic: " + told);
    check(number(told, "lost") == 0, "nothing is lost: " + told);
    check(number(told, "descriptors_most") <= 160, "no more descriptors than allowed: " + told);
  }

  @Example
  void connectionsAndPollsFollowTheTrafficAndNotTheList() throws Exception {
    Map<String, Object> few = play("servers=120", "seconds=5", "drain_share=0");
    Map<String, Object> many = play("servers=1200", "seconds=5", "drain_share=0");
    check(
        number(many, "connections") <= 2.5 * number(few, "connections") + 40,
        "connections: " + few + many);
    check(
        number(many, "descriptors_max") <= 2 * number(few, "descriptors_max") + 40,
        "descriptors: " + few + many);
    check(
        number(many, "served_share") >= 0.85 * number(few, "served_share"),
        "served: " + few + many);
  }

  @Example
  void drainsBindWhileTheRestOfTheirListIsStillToCome() throws Exception {
    // A change of 600 entries takes 1.2 s to be written; what each says binds from its own last
    // byte on.
    Map<String, Object> told =
        play(
            "servers=720",
            "sockets=1024",
            "seconds=6",
            "rate=100",
            "drain_share=1",
            "remove_share=0",
            "list_piece_bytes=1000",
            "list_piece_ms=10");
    check(number(told, "statements") > 300, "there was traffic: " + told);
    check(number(told, "drain_late") == 0, "nothing goes to a server past the grace: " + told);
  }
}
