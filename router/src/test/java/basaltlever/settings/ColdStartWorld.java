package basaltlever.settings;

import basaltlever.core.Effects;
import basaltlever.core.StatementRouter;
import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.gateway.RejectReason;
import basaltlever.gateway.Role;
import basaltlever.gateway.Settings;
import basaltlever.gateway.StatementRequest;
import basaltlever.switchover.PlannedSwitchover;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One router whose servers restart: first one of them beside warm ones, then all at once. Counts
 * what it sends to them, to compare the budgets that several settings give it.
 */
final class ColdStartWorld implements Effects<Integer> {
  private static final Span STEP = Span.ofMillis(5);
  private static final int SERVER_COUNT = 4;
  private static final int PRIMARY = 0;
  private static final int RESTARTED = 3;
  private static final int WARM_STEPS = 400;
  private static final int COLD_STEPS = 800;
  private static final int STEPS_PER_SAMPLE = 50;

  /** Differences that chance makes: a few statements, and deviations of a Poisson count. */
  private static final double TOLERATED_STATEMENTS = 4;

  private static final double TOLERATED_DEVIATIONS = 3;
  private static final Span CLIENT_TIMEOUT = Span.ofMillis(400);

  private final StatementRouter<Integer> router;

  /** How long a server is cold by the version whose budget is compared. */
  private final Span coldTime;

  private final List<Runnable> effects = new ArrayList<>();
  private final Moment[] startedAt = new Moment[SERVER_COUNT];
  private final List<Integer> samples = new ArrayList<>();
  private Moment now = new Moment(1_000_000_000);
  private int sentToCold;
  private long lastTicket;

  private ColdStartWorld(VersionText base, Settings settings, Span coldTime, long seed) {
    this.coldTime = coldTime;
    SplittableRandom random = new SplittableRandom(seed);
    java.util.Arrays.fill(startedAt, Moment.LONG_AGO);
    router =
        new StatementRouter<>(this, base.startValues().loadBalancerFactory(random.nextLong(), now));
    Settings own = base.startValues().settings();
    Settings mixed =
        new Settings(
            settings.identity(),
            own.workloads(),
            own.replication(),
            own.drainPolicy(),
            settings.slowStart(),
            own.attemptLimits(),
            own.poolSettings());
    input(() -> router.applySettings(now, balancer -> balancer.applySettings(now, mixed)));
    deliverList();
  }

  /** Returns a violation if the combined settings give a larger budget than the version. */
  static List<String> violations(VersionText version, Settings combined, long seed) {
    Settings own = version.startValues().settings();
    if (own.slowStart().equals(combined.slowStart())
        && own.identity().routerCount() == combined.identity().routerCount()) {
      return List.of();
    }
    VersionText base =
        VersionText.draw(new SplittableRandom(seed))
            .with("FamilyInfo.ClassRead", "any,any,write")
            .with("FamilyInfo.Checks", "none")
            .with("Classes.0.Repeat", "idempotent")
            .with("Bounds.MayProbe", "true")
            .with("Bounds.MayDuplicate", "false")
            .with("Rules.AnswerSlack", "0");
    Span coldTime = version.span("Rules.Cold");
    List<Integer> allowed = new ColdStartWorld(base, own, coldTime, seed).play();
    List<Integer> sent = new ColdStartWorld(base, combined, coldTime, seed).play();
    for (int i = 0; i < sent.size(); i++) {
      double chance = TOLERATED_STATEMENTS + TOLERATED_DEVIATIONS * Math.sqrt(allowed.get(i));
      if (sent.get(i) > allowed.get(i) + chance) {
        return List.of(
            "cold: "
                + sent.get(i)
                + " statements to restarted servers instead of "
                + allowed.get(i));
      }
    }
    return List.of();
  }

  /** Returns how many statements were sent to restarted servers, counted at regular intervals. */
  private List<Integer> play() {
    run(WARM_STEPS, 1);
    startedAt[RESTARTED] = now;
    deliverList();
    samples.clear();
    sentToCold = 0;
    run(COLD_STEPS, 1);
    java.util.Arrays.fill(startedAt, now);
    deliverList();
    sentToCold = 0;
    run(COLD_STEPS, 10);
    return samples;
  }

  private void run(int steps, int stepsPerStatement) {
    for (int step = 1; step <= steps; step++) {
      now = now.plus(STEP);
      input(() -> router.onTimerFired(now));
      if (step % stepsPerStatement == 0) {
        long ticket = ++lastTicket;
        input(
            () ->
                router.onStatementReceived(
                    now,
                    ticket,
                    new StatementRequest(
                        VersionText.READ, 1, 1, now.plus(CLIENT_TIMEOUT), Moment.LONG_AGO, 100)));
      }
      if (step % STEPS_PER_SAMPLE == 0) {
        samples.add(sentToCold);
      }
    }
  }

  private void input(Runnable input) {
    input.run();
    while (!effects.isEmpty()) {
      List<Runnable> decided = new ArrayList<>(effects);
      effects.clear();
      decided.forEach(Runnable::run);
    }
  }

  private void deliverList() {
    input(
        () -> {
          router.onListStarted();
          for (int i = 0; i < SERVER_COUNT; i++) {
            router.onEndpointListed(now, i, EndpointLifecycle.READY, 1, 0, 1, startedAt[i]);
          }
          router.onListFinished(now, true, true);
        });
  }

  @Override
  public void startAttempt(long ticket, int attempt, Integer server, Span timeout, Moment sendBy) {
    sentToCold += now.since(startedAt[server]).isShorterThan(coldTime) ? 1 : 0;
    effects.add(
        () ->
            router.onAttemptEnded(
                now, ticket, attempt, AttemptOutcome.COMPLETED, roleOf(server), now, false));
  }

  private static Role roleOf(int server) {
    return server == PRIMARY ? Role.PRIMARY : Role.REPLICA;
  }

  @Override
  public void poll(Integer server) {
    effects.add(
        () ->
            router.onPollEnded(
                now, server, AttemptOutcome.COMPLETED, roleOf(server), now, 0.3, Double.NaN));
  }

  @Override
  public void cancel(long ticket, int attempt) {
    // Attempts end at once.
  }

  @Override
  public void reject(long ticket, Span retryAfter, RejectReason reason) {
    // Only what is sent counts.
  }

  @Override
  public void abort(long ticket) {
    // Only what is sent counts.
  }

  @Override
  public void closeIdleConnections(Integer server) {
    // Connections are not simulated.
  }

  @Override
  public void onEndpointRemoved(Integer server) {
    // All servers stay listed.
  }

  @Override
  public void watchEndpointList() {
    // The list is delivered at each change.
  }

  @Override
  public void setTimer(Span delay) {
    // The timer fires at each step.
  }

  @Override
  public void openConnections(Integer server, int connections) {
    // Connections are not simulated.
  }

  @Override
  public void onSwitchoverPhaseChanged(int group, PlannedSwitchover.Phase phase, Integer target) {
    // There are no planned switchovers.
  }

  @Override
  public void onPrimaryChanged(int group, Integer server, boolean found) {
    // The primary never changes.
  }
}
