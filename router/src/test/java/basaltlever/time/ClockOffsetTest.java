package basaltlever.time;

import static basaltlever.LoadBalancerHarness.check;

import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Tests a process that started while the clock of its machine was wrong: corrected positions must
 * not be newer than they are, and corrected start times must not be earlier.
 */
class ClockOffsetTest {
  private static final long HOUR_MILLIS = 3_600_000;

  private static Span ms(long millis) {
    return Span.ofMillis((double) millis);
  }

  @Property(tries = 300, seed = "39", shrinking = ShrinkingMode.OFF)
  void correctedPositionsAreNeverNewerAndStartsNeverEarlier(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Span clockError = ms(random.nextLong(-HOUR_MILLIS, HOUR_MILLIS));
    ClockOffset offset = new ClockOffset();
    Moment serverTime = new Moment(1_767_225_600_000_000L);
    for (int i = 0; i < 60; i++) {
      serverTime = serverTime.plus(ms(100 + random.nextLong(400)));
      Moment processTime = serverTime.plus(clockError);
      offset.onPrimaryPosition(processTime, serverTime.minus(ms(5 + random.nextLong(300))));
      if (i < 30) {
        continue;
      }
      Moment commit = serverTime.minus(ms(random.nextLong(60_000)));
      Span correctedAge = processTime.since(offset.correctPosition(commit));
      boolean isBehind = clockError.micros() < -1_300_000;
      check(
          !isBehind || !correctedAge.isShorterThan(serverTime.since(commit)),
          "a corrected position is not newer than the commit");
      check(
          !isBehind
              || !processTime
                  .since(offset.correctCommit(commit))
                  .isLongerThan(serverTime.since(commit).plus(ms(310))),
          "a corrected commit is at most 310 ms older");
      boolean isAhead = clockError.micros() > 5_400_000;
      check(
          !isAhead
              || !processTime
                  .since(offset.correctStart(commit))
                  .isLongerThan(serverTime.since(commit).plus(ms(310))),
          "a corrected start is at most 310 ms earlier: " + clockError);
    }
  }

  @Example
  void singleOutlierReportDoesNotChangeTheEstimate() {
    ClockOffset offset = new ClockOffset();
    Moment now = new Moment(1_767_225_600_000_000L);
    check(
        !offset.onPrimaryPosition(now, now.plus(ms(HOUR_MILLIS)))
            && offset.behind().equals(Span.NONE),
        "one report does not change the estimate");
    for (int i = 1; i < 40; i++) {
      offset.onPrimaryPosition(now.plus(ms(500L * i)), now.plus(ms(500L * i - 50)));
    }
    check(
        offset.behind().equals(Span.NONE) && offset.ahead().equals(Span.NONE),
        "later correct reports do not confirm the outlier");
    check(
        offset.correctPosition(now).equals(now) && offset.correctStart(now).equals(now),
        "values are not corrected");
  }

  @Example
  void delayedReportsAreNotTakenForAClockStep() {
    ClockOffset offset = new ClockOffset();
    Moment now = new Moment(1_767_225_600_000_000L);
    for (int i = 1; i < 40; i++) {
      check(
          !offset.onPrimaryPosition(now.plus(ms(500L * i)), now.plus(ms(500L * i - 4_000))),
          "a delay of 4 s does not change the estimate");
    }
    check(offset.ahead().equals(Span.NONE), "the clock is not taken to be ahead");
  }
}
