package basaltlever;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.LoopbackCluster.RecordingEffects;
import basaltlever.config.InvalidSettingsException;
import basaltlever.config.StartFile;
import basaltlever.config.StartValues;
import basaltlever.core.StatementRouter;
import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.gateway.Role;
import basaltlever.gateway.StatementRequest;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.List;
import net.jqwik.api.Example;

/**
 * Tests a fresh read that an endpoint executes after it has lost the primary role: its row may be
 * stale, and it has run.
 */
class FreshReadTest {
  private static final long TICKET = 1;
  private static final Span TIMEOUT = Span.ofMillis(1_500);

  private final RecordingEffects effects = new RecordingEffects();
  private Moment now = new Moment(1_000_000_000);

  /** Starts a fresh read with this "Repeat" setting at the primary s-0 of three endpoints. */
  private StatementRouter<String> startRead(String repeat) throws InvalidSettingsException {
    StatementRouter<String> router = createRouter(repeat);
    router.onListStarted();
    List<String> endpoints = List.of("s-0", "s-1", "s-2");
    for (String endpoint : endpoints) {
      router.onEndpointListed(now, endpoint, EndpointLifecycle.READY, 1, 0, 1, Moment.LONG_AGO);
    }
    router.onListFinished(now, true, true);
    for (String endpoint : endpoints) {
      reportRole(router, endpoint, endpoint.equals("s-0") ? Role.PRIMARY : Role.REPLICA);
    }
    router.onStatementReceived(
        now, TICKET, new StatementRequest(0, 1, 0, now.plus(TIMEOUT), Moment.LONG_AGO, 0));
    check(count("execute") == 1, "expected an attempt at the primary: " + effects.calls);
    now = now.plus(Span.ofMillis(60));
    return router;
  }

  private StatementRouter<String> createRouter(String repeat) throws InvalidSettingsException {
    String settings =
        LoopbackCluster.startFile(1, 2, "[]")
            .replace("\"Repeat\":\"idempotent\"", "\"Repeat\":" + repeat)
            .replace("[\"bounded\",\"write\"]", "[\"fresh\",\"write\"]")
            .replace("\"Checks\":\"wait\"", "\"Checks\":\"none\"");
    StartValues values = StartFile.parse(settings).startValues();
    return new StatementRouter<>(
        effects, values.loadBalancerFactory(1, now, values.defaultHoldBudget()));
  }

  private void reportRole(StatementRouter<String> router, String endpoint, Role role) {
    router.onPollEnded(now, endpoint, AttemptOutcome.COMPLETED, role, now, 0.2, Double.NaN);
  }

  private boolean completeAsReplica(StatementRouter<String> router) {
    return router.onAttemptEnded(
        now, TICKET, 0, AttemptOutcome.COMPLETED, Role.REPLICA, Moment.LONG_AGO, false);
  }

  private long count(String call) {
    return effects.calls.stream().filter(call::equals).count();
  }

  /**
   * Guards against the double execution of review/1: the row of the former primary counted as proof
   * that the read had not run, so it ran again at the new one.
   */
  @Example
  void nonIdempotentReadThatRanAtFormerPrimaryIsAborted() throws InvalidSettingsException {
    StatementRouter<String> router = startRead("\"at_most_once\"");
    check(!completeAsReplica(router), "expected the row not to be passed on");
    check(
        count("abort") == 1 && count("reject") == 0,
        "expected an abort at once and no rejection: " + effects.calls);
    reportRole(router, "s-1", Role.PRIMARY);
    now = now.plus(Span.ofMillis(100));
    router.onTimerFired(now);
    check(count("execute") == 1, "expected no second execution: " + effects.calls);
  }

  /** A repeat that the servers drop is allowed within its window. */
  @Example
  void deduplicatedReadIsRepeatedAtNewPrimaryWithinItsWindow() throws InvalidSettingsException {
    StatementRouter<String> router =
        startRead("\"deduplicated\",\"Group\":\"cell\",\"Window\":3000000");
    check(!completeAsReplica(router), "expected the row not to be passed on");
    reportRole(router, "s-1", Role.PRIMARY);
    check(
        count("execute") == 2 && count("abort") == 0,
        "expected a second attempt at the new primary: " + effects.calls);
  }

  /**
   * Guards against a rejection, after which the client may repeat a read that ran outside the
   * window.
   */
  @Example
  void deduplicatedReadThatRanIsNotRejectedAtItsDeadline() throws InvalidSettingsException {
    StatementRouter<String> router =
        startRead("\"deduplicated\",\"Group\":\"cell\",\"Window\":100000");
    check(!completeAsReplica(router), "expected the row not to be passed on");
    now = now.plus(TIMEOUT);
    router.onDeadlinePassed(now, TICKET);
    check(
        count("abort") == 1 && count("reject") == 0 && count("execute") == 1,
        "expected an abort and no second execution: " + effects.calls);
  }

  /** The fix must cost idempotent reads nothing: they are read again at the new primary. */
  @Example
  void idempotentReadIsRepeatedAtNewPrimary() throws InvalidSettingsException {
    StatementRouter<String> router = startRead("\"idempotent\"");
    check(!completeAsReplica(router), "expected the row not to be passed on");
    reportRole(router, "s-1", Role.PRIMARY);
    check(
        count("execute") == 2 && count("abort") == 0 && count("reject") == 0,
        "expected a second attempt at the new primary: " + effects.calls);
  }
}
