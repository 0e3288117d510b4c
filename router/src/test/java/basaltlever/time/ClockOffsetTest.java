package basaltlever.time;

import static basaltlever.LoadBalancerHarness.check;

import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * A process that started while its machine's clock was wrong: no position looks newer, no server
 * warmer than it is.
 */
class ClockOffsetTest {
  private static final long HOUR_MILLIS = 3_600_000;

  private static Span ms(long millis) {
    return Span.ofMillis((double) millis);
  }

  @Property(tries = 300, seed = "39", shrinking = ShrinkingMode.OFF)
  void nothingLooksNewerOrWarmerThanItIs(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Span off = ms(random.nextLong(-HOUR_MILLIS, HOUR_MILLIS));
    ClockOffset offset = new ClockOffset();
    Moment truth = new Moment(1_767_225_600_000_000L);
    for (int i = 0; i < 60; i++) {
      truth = truth.plus(ms(100 + random.nextLong(400)));
      Moment own = truth.plus(off);
      offset.primaryAt(own, truth.minus(ms(5 + random.nextLong(300))));
      if (i < 30) {
        continue;
      }
      Moment commit = truth.minus(ms(random.nextLong(60_000)));
      Span aged = own.since(offset.position(commit));
      boolean looksBehind = off.micros() < -1_300_000;
      check(
          !looksBehind || !aged.isShorterThan(truth.since(commit)),
          "it looks as old as it is, or older");
      check(
          !looksBehind
              || !own.since(offset.committed(commit))
                  .isLongerThan(truth.since(commit).plus(ms(310))),
          "what has to be seen is no older");
      boolean looksAhead = off.micros() > 5_400_000;
      check(
          !looksAhead
              || !own.since(offset.started(commit)).isLongerThan(truth.since(commit).plus(ms(310))),
          "a start looks no earlier: " + off);
    }
  }

  @Example
  void oneSpoiltReportChangesNothing() {
    ClockOffset offset = new ClockOffset();
    Moment now = new Moment(1_767_225_600_000_000L);
    check(
        !offset.primaryAt(now, now.plus(ms(HOUR_MILLIS))) && offset.behind().equals(Span.NONE),
        "one");
    for (int i = 1; i < 40; i++) {
      offset.primaryAt(now.plus(ms(500L * i)), now.plus(ms(500L * i - 50)));
    }
    check(
        offset.behind().equals(Span.NONE) && offset.ahead().equals(Span.NONE),
        "and many good ones behind it");
    check(offset.position(now).equals(now) && offset.started(now).equals(now), "all as it is told");
  }

  @Example
  void reportsThatAreLateForAWhileAreNoStep() {
    ClockOffset offset = new ClockOffset();
    Moment now = new Moment(1_767_225_600_000_000L);
    for (int i = 1; i < 40; i++) {
      check(
          !offset.primaryAt(now.plus(ms(500L * i)), now.plus(ms(500L * i - 4_000))), "late by 4 s");
    }
    check(offset.ahead().equals(Span.NONE), "no step");
  }
}
