package basaltlever;

import static basaltlever.LoadBalancerHarness.ANY;
import static basaltlever.LoadBalancerHarness.BOUNDED;
import static basaltlever.LoadBalancerHarness.LATE_TOLERANT;
import static basaltlever.LoadBalancerHarness.WRITE;
import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoadBalancerHarness.ms;

import basaltlever.LoadBalancerHarness.SentAttempt;
import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.gateway.Role;
import basaltlever.gateway.Workload;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;

/**
 * Tests from the side of the client that the time that it has left and the work that is left decide
 * how long a statement waits, when it is rejected, and when its client is told to come back.
 */
class RemainingTimeTest {
  private static final int WORK_MILLIS = 40;

  /** Completes statements one after the other, so that their time is known. */
  private static LoadBalancerHarness harnessThatKnowsTheWork(int sloMillis) {
    LoadBalancerHarness harness =
        new LoadBalancerHarness(false, false, false, false, true, 2, 7, sloMillis)
            .discoverGroup(20);
    for (int i = 0; i < 30; i++) {
      int workload = i % 3 == 2 ? WRITE : i % 3 == 1 ? BOUNDED : ANY;
      harness.receiveStatement(workload);
      harness.advance(WORK_MILLIS);
      harness.endAttempts(
          sent -> true,
          AttemptOutcome.COMPLETED,
          harness.lastAttempt().endpoint() == 0 ? Role.PRIMARY : Role.REPLICA);
      harness.completePoll(0, Role.PRIMARY, harness.now);
      harness.completePoll(1, Role.REPLICA, harness.now);
      harness.completePoll(2, Role.REPLICA, harness.now);
    }
    return harness;
  }

  /** Occupies all endpoints with reads that have far more time than those under test. */
  private static void occupyAllEndpoints(LoadBalancerHarness harness) {
    for (int endpoint = 0; endpoint < 3; endpoint++) {
      harness.balancer.onPollEnded(
          harness.now,
          endpoint,
          AttemptOutcome.COMPLETED,
          endpoint == 0 ? Role.PRIMARY : Role.REPLICA,
          harness.now,
          1,
          Double.NaN);
    }
    int sentBefore;
    do {
      sentBefore = harness.attempts.size();
      harness.receiveStatement(ANY);
    } while (harness.attempts.size() > sentBefore);
  }

  /** Returns how long a read waits in vain before it is rejected. */
  private static int waitMillis(LoadBalancerHarness harness, int read) {
    int waited = 0;
    while (!harness.rejectedStatements.contains(read) && waited < 10_000) {
      harness.advance(5);
      waited += 5;
    }
    return waited;
  }

  @Property(tries = 20, seed = "6801", shrinking = ShrinkingMode.OFF)
  void twiceTheTimeAllowsALongerWait(@ForAll @IntRange(min = 150, max = 400) int timeMillis) {
    int[] waits = new int[2];
    for (int factor = 1; factor <= 2; factor++) {
      LoadBalancerHarness harness = harnessThatKnowsTheWork(2_000);
      occupyAllEndpoints(harness);
      waits[factor - 1] =
          waitMillis(
              harness, harness.receiveStatement(ANY, 0, Moment.LONG_AGO, factor * timeMillis));
    }
    check(
        waits[0] < timeMillis && waits[1] < 2 * timeMillis,
        "expected a rejection while the client waits: " + Arrays.toString(waits));
    check(
        waits[1] >= waits[0] + timeMillis - 10,
        "expected the additional time to be waited: " + Arrays.toString(waits));
  }

  /** The objective alone ends the wait where a late answer is worth nothing. */
  @Example
  void twiceTheLatencyObjectiveAllowsALongerWait() {
    int[] waits = new int[2];
    for (int factor = 1; factor <= 2; factor++) {
      LoadBalancerHarness harness = harnessThatKnowsTheWork(300 * factor);
      occupyAllEndpoints(harness);
      waits[factor - 1] =
          waitMillis(harness, harness.receiveStatement(ANY, 0, Moment.LONG_AGO, 2_000));
    }
    check(
        waits[0] < 300 && waits[1] >= waits[0] + 290 && waits[1] < 600,
        "expected the wait to follow the objective: " + Arrays.toString(waits));
  }

  @Example
  void statementWithoutTimeForItsWorkIsToldAtOnceAndWhenToComeBack() {
    LoadBalancerHarness harness = harnessThatKnowsTheWork(300);
    int sentBefore = harness.attempts.size();
    int read = harness.receiveStatement(ANY, 0, Moment.LONG_AGO, WORK_MILLIS);
    check(
        harness.rejectedStatements.equals(List.of(read)) && harness.attempts.size() == sentBefore,
        "expected an immediate rejection without an attempt");
    check(
        harness.lastRetryAfter.micros() > 0 && harness.lastRetryAfter.isShorterThan(ms(300)),
        "expected the time until a place is free: " + harness.lastRetryAfter);
    int write = harness.receiveStatement(WRITE, 0, Moment.LONG_AGO, WORK_MILLIS);
    check(harness.rejectedStatements.contains(write), "expected the same for a write");
    int inTime = harness.receiveStatement(ANY, 0, Moment.LONG_AGO, 4 * WORK_MILLIS);
    check(harness.lastAttempt().statement() == inTime, "expected an attempt with time for it");
  }

  /** What can only be late waits behind what can be in time, and sessions keep their order. */
  @Example
  void lateStatementWaitsBehindThoseInTimeAndBeforeItsSession() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().listEndpoints(3);
    int late = harness.receiveStatement(WRITE, 1, Moment.LONG_AGO, 2_000);
    harness.advance(250);
    int nextOfSession = harness.receiveStatement(WRITE, 1, Moment.LONG_AGO, 2_000);
    int inTime = harness.receiveStatement(WRITE, 2, Moment.LONG_AGO, 2_000);
    harness.advance(100).completePoll(0, Role.PRIMARY, harness.now);
    List<Integer> sent = harness.attempts.stream().map(SentAttempt::statement).toList();
    check(
        sent.equals(List.of(inTime, late, nextOfSession)),
        "expected the statement in time first: " + sent);
  }

  /** A router that has just started knows of no work, and rejects nothing because of it. */
  @Example
  void readsWaitForTheFirstAnswersWithinTheirTime() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().listEndpoints(3);
    for (int i = 0; i < 50; i++) {
      harness.receiveStatement(BOUNDED, 0, Moment.LONG_AGO, 1_000);
      harness.advance(5);
    }
    check(
        harness.rejectedStatements.isEmpty() && harness.attempts.isEmpty(),
        "expected all reads to wait: " + harness.rejectedStatements);
    harness.completePoll(0, Role.PRIMARY, harness.now);
    harness.completePoll(1, Role.REPLICA, harness.now);
    harness.completePoll(2, Role.REPLICA, harness.now);
    check(!harness.attempts.isEmpty(), "expected reads to be sent once positions are known");
    check(harness.rejectedStatements.isEmpty(), "expected the others to go on waiting");
  }

  /** The more work is ahead of a statement, the later its client is told to come back. */
  @Example
  void adviceGrowsWithTheWorkAhead() {
    LoadBalancerHarness harness = harnessThatKnowsTheWork(400);
    occupyAllEndpoints(harness);
    List<Span> advice = new ArrayList<>();
    for (int i = 0; i < 400; i++) {
      int rejectedBefore = harness.rejectedStatements.size();
      harness.receiveStatement(BOUNDED, 0, Moment.LONG_AGO, 150 + i);
      if (harness.rejectedStatements.size() > rejectedBefore) {
        advice.add(harness.lastRetryAfter);
      }
    }
    check(advice.size() > 20, "expected rejections: " + advice.size());
    check(
        advice.get(advice.size() - 1).isLongerThan(advice.get(0).times(1.5)),
        "expected later advice behind more work: " + advice);
  }

  /** Returns the time left at which a read is rejected; it is tried again or for the first time. */
  private static long millisLeftAtRejection(int timeLeftMillis, boolean isRepeat) {
    LoadBalancerHarness harness = harnessThatKnowsTheWork(2_000);
    Moment deadline = harness.now.plus(ms(timeLeftMillis));
    int read = -1;
    SentAttempt first = null;
    if (isRepeat) {
      read = harness.receiveStatement(ANY, 0, Moment.LONG_AGO, timeLeftMillis);
      first = harness.lastAttempt();
      check(first.statement() == read, "expected the first attempt of the repeated read");
    }
    occupyAllEndpoints(harness);
    if (isRepeat) {
      harness.endedAttempts.add(first);
      harness.endAttempt(first, AttemptOutcome.NEVER_SENT, Role.UNKNOWN);
    } else {
      read = harness.receiveStatement(ANY, 0, Moment.LONG_AGO, timeLeftMillis);
    }
    waitMillis(harness, read);
    return deadline.since(harness.now).micros() / 1_000;
  }

  @Property(tries = 20, seed = "6802", shrinking = ShrinkingMode.OFF)
  void firstTryAndRepeatWithTheSameTimeLeftAreRejectedAtTheSameTime(
      @ForAll @IntRange(min = 150, max = 900) int timeLeftMillis) {
    long first = millisLeftAtRejection(timeLeftMillis, false);
    long repeat = millisLeftAtRejection(timeLeftMillis, true);
    check(
        Math.abs(first - repeat) <= 10,
        "expected no difference: first try " + first + " ms left, repeat " + repeat);
  }

  /** An endpoint that is warming up takes a statement that has waited as it takes a new one. */
  @Example
  void slowStartDoesNotDependOnWhetherAStatementHasWaited() {
    int[] sent = new int[2];
    for (int seed = 0; seed < 200; seed++) {
      for (int hasWaited = 0; hasWaited <= 1; hasWaited++) {
        LoadBalancerHarness harness =
            new LoadBalancerHarness(true, true, true, false, true, 100, seed, 2_000)
                .listEndpoints(1);
        harness.completePoll(0, Role.PRIMARY, harness.now);
        harness.listEndpoint(0, EndpointLifecycle.READY, harness.now);
        if (hasWaited == 1) {
          harness.receiveStatement(WRITE, 0, Moment.LONG_AGO, 20_000);
        }
        harness.advance(3_000).completePoll(0, Role.PRIMARY, harness.now);
        if (hasWaited == 0) {
          harness.receiveStatement(WRITE, 0, Moment.LONG_AGO, 20_000);
        }
        harness.advance(10);
        sent[hasWaited] += harness.attempts.size();
      }
    }
    check(
        sent[1] > 0 && Math.abs(sent[0] - sent[1]) <= 40,
        "expected as many of those that waited as of those that came then: "
            + Arrays.toString(sent));
  }

  /**
   * Reads arrive at four times the rate that the endpoints can execute, one at a time each. The
   * work done must not fall because of that, and the least important reads are shed first.
   */
  @Property(tries = 10, seed = "6803", shrinking = ShrinkingMode.OFF)
  void overloadShedsTheLeastImportantFirstAndLosesNoWork(@ForAll long seed) {
    LoadBalancerHarness harness = harnessThatKnowsTheWork(400);
    SplittableRandom random = new SplittableRandom(seed);
    int firstRead = harness.statements.size();
    int steps = 4_000;
    for (int step = 0; step < steps; step++) {
      harness.advance(5);
      if (step % (WORK_MILLIS / 5) == 0) {
        completeOldestAttempt(harness, 1);
        completeOldestAttempt(harness, 2);
        reportUtilization(harness);
      }
      harness.timeOutAttemptsPastDeadline();
      harness.receiveStatement(random.nextInt(8) == 0 ? BOUNDED : ANY, 0, Moment.LONG_AGO, 400);
    }
    int[] received = new int[2];
    int[] completed = new int[2];
    Set<Integer> rejected = new HashSet<>(harness.rejectedStatements);
    for (int read = firstRead; read < harness.statements.size(); read++) {
      LoadBalancerHarness.StatementRecord statement = harness.statements.get(read);
      int important = statement.workload.equals(harness.workloads[BOUNDED]) ? 1 : 0;
      received[important]++;
      completed[important] += statement.answered && !rejected.contains(read) ? 1 : 0;
    }
    String shares =
        completed[1] + " of " + received[1] + " and " + completed[0] + " of " + received[0];
    check(
        (double) completed[1] / received[1] > 2.0 * completed[0] / received[0],
        "expected the less important to be shed first: " + shares);
    int executable = 2 * steps * 5 / WORK_MILLIS;
    check(
        completed[0] + completed[1] > 0.9 * executable,
        "expected the work of " + executable + " reads to be done in time: " + shares);
  }

  private static void completeOldestAttempt(LoadBalancerHarness harness, int endpoint) {
    harness.attempts.stream()
        .filter(sent -> sent.endpoint() == endpoint && !harness.endedAttempts.contains(sent))
        .findFirst()
        .ifPresent(
            oldest ->
                harness.endAttempts(
                    sent -> sent.equals(oldest), AttemptOutcome.COMPLETED, Role.REPLICA));
  }

  /** Each endpoint executes one attempt at a time, and reports whether it has one now. */
  private static void reportUtilization(LoadBalancerHarness harness) {
    for (int endpoint = 0; endpoint < 3; endpoint++) {
      harness.balancer.onPollEnded(
          harness.now,
          endpoint,
          AttemptOutcome.COMPLETED,
          endpoint == 0 ? Role.PRIMARY : Role.REPLICA,
          harness.now,
          endpoint == 0 || hasAttempt(harness, endpoint) ? 1 : 0,
          Double.NaN);
    }
  }

  private static boolean hasAttempt(LoadBalancerHarness harness, int endpoint) {
    return harness.attempts.stream()
        .anyMatch(sent -> sent.endpoint() == endpoint && !harness.endedAttempts.contains(sent));
  }

  /**
   * A statement is held for as long as its client waits, whatever a late answer is worth, if it is
   * worth anything. Its rejection says when the router asks for the primary again.
   */
  @Example
  void holdLastsUntilTheClientStopsWaiting() {
    LoadBalancerHarness harness = LoadBalancerHarness.withDefaults().listEndpoints(3);
    int shortWait = harness.receiveStatement(WRITE, 9, Moment.LONG_AGO, 1_000);
    int longWait = harness.receiveStatement(WRITE, 0, Moment.LONG_AGO, 2_000);
    int lateTolerant = harness.receiveStatement(LATE_TOLERANT, 0, Moment.LONG_AGO, 2_000);
    harness.advance(975);
    check(harness.rejectedStatements.isEmpty(), "expected both to be held");
    harness.advance(10);
    check(
        harness.rejectedStatements.equals(List.of(shortWait)),
        "expected a rejection when the time of its client is over");
    check(
        !harness.lastRetryAfter.isShorterThan(ms(900)),
        "expected the interval of the polls, which grows with the hold: " + harness.lastRetryAfter);
    harness.advance(900).completePoll(0, Role.PRIMARY, harness.now);
    check(
        harness.attempts.stream()
            .map(SentAttempt::statement)
            .toList()
            .equals(List.of(lateTolerant, longWait)),
        "expected twice the wait for twice the time, and then the order by what a late answer is"
            + " worth: "
            + harness.attempts.stream().map(SentAttempt::statement).toList());
  }

  /** A late answer that is worth something is waited for; one that is worth nothing is not. */
  @Example
  void valueOfALateAnswerDecidesWhetherAnAttemptMayBeLate() {
    LoadBalancerHarness harness = harnessThatKnowsTheWork(300);
    harness.receiveStatement(ANY, 0, Moment.LONG_AGO, 1_000);
    check(
        harness.lastAttempt().timeout().equals(ms(300)),
        "expected the objective as timeout: " + harness.lastAttempt().timeout());
    harness.receiveStatement(BOUNDED, 0, Moment.LONG_AGO, 1_000);
    check(
        harness.lastAttempt().timeout().equals(Span.NONE)
            && harness
                    .statements
                    .get(harness.lastAttempt().statement())
                    .workload
                    .lateResponseValue()
                > 0,
        "expected no timeout before the client stops waiting");
    for (Workload workload : harness.workloads) {
      check(workload.lateResponseValue() < 1, "the values of the harness tell the two apart");
    }
  }
}
