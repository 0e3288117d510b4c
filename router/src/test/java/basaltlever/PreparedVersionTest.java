package basaltlever;

import static basaltlever.LoadBalancerHarness.ANY;
import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoadBalancerHarness.ms;

import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.gateway.Replication;
import basaltlever.gateway.Role;
import basaltlever.gateway.Settings;
import basaltlever.gateway.Workload;
import basaltlever.gateway.Workload.Idempotency;
import basaltlever.gateway.Workload.ReadConsistency;
import basaltlever.settings.StricterSettings;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.List;
import net.jqwik.api.Example;

/** Tests the reads of a router that complies with the version in force and with a prepared one. */
class PreparedVersionTest {
  private static final long SESSION = 9;
  private static final Span BOUND = ms(500);

  /** Returns the harness's settings with another kind of the reads with index {@code ANY}. */
  private static Settings withRead(
      Settings base, ReadConsistency consistency, Span bound, boolean replicasCheck) {
    Workload[] workloads = base.workloads().clone();
    Workload read = workloads[ANY];
    workloads[ANY] =
        new Workload(
            consistency,
            bound,
            Idempotency.IDEMPOTENT,
            read.deduplicationScope(),
            read.deduplicationWindow(),
            read.latencyObjective(),
            read.timeout(),
            read.priorityWeight(),
            read.lateResponseValue(),
            true);
    return base.withWorkloads(workloads)
        .withReplication(new Replication(replicasCheck, false, true));
  }

  /** Applies settings; each endpoint then reports its role and position, the replicas with lag. */
  private static LoadBalancerHarness apply(Settings settings, double lagMillis) {
    LoadBalancerHarness router = new LoadBalancerHarness(false, false, true, false, true);
    router.workloads = settings.workloads();
    router.balancer.applySettings(router.now, settings);
    return router.discoverGroup(lagMillis);
  }

  private static Settings bounded(Settings base, boolean replicasCheck) {
    return withRead(base, ReadConsistency.BOUNDED, BOUND, replicasCheck);
  }

  private static Settings session(Settings base, boolean replicasCheck) {
    return withRead(base, ReadConsistency.SESSION, Span.NONE, replicasCheck);
  }

  private static List<Settings> bothOrders(boolean replicasCheck) {
    Settings base = LoadBalancerHarness.withDefaults().settings;
    Settings bounded = bounded(base, replicasCheck);
    Settings session = session(base, replicasCheck);
    return List.of(StricterSettings.of(bounded, session), StricterSettings.of(session, bounded));
  }

  /** Receives a read of a session whose last commit is so many milliseconds old; 0 for none. */
  private static int read(LoadBalancerHarness router, double commitMillis) {
    Moment commit = commitMillis == 0 ? Moment.LONG_AGO : router.now.minus(ms(commitMillis));
    return router.receiveStatement(ANY, SESSION, commit, 1_000);
  }

  /**
   * Guards against the stale reads of review/9: with a version prepared that made a bounded read a
   * session read, or the reverse, the bound was dropped.
   */
  @Example
  void boundOfEitherVersionHoldsForSessionsWithoutWrites() {
    for (Settings stricter : bothOrders(false)) {
      LoadBalancerHarness router = apply(stricter, 3_000);
      read(router, 0);
      check(
          router.attempts.stream().allMatch(attempt -> attempt.endpoint() == 0),
          "no replica that is 3 s behind is used: " + router.attempts);
      router = apply(stricter, 300);
      read(router, 0);
      check(router.lastAttempt().endpoint() != 0, "a replica within the bound is used");
      check(
          router.lastAttempt().sendBy().equals(router.now.plus(ms(200))),
          "sent while its reported position is within the bound: " + router.lastAttempt());
    }
  }

  /** The other half: the writes of the session are seen, however long the bound is. */
  @Example
  void writesOfTheSessionAreSeenWithinTheBound() {
    for (Settings stricter : bothOrders(false)) {
      LoadBalancerHarness router = apply(stricter, 300);
      read(router, 100);
      check(
          router.attempts.stream().allMatch(attempt -> attempt.endpoint() == 0),
          "no replica without the session's commit is used: " + router.attempts);
      read(router, 400);
      check(router.lastAttempt().endpoint() != 0, "a replica with the commit is used");
    }
  }

  /**
   * Replicas that check reads know the kind of a class by themselves, and so may check by the other
   * version: while the versions differ, the router needs proof of its own.
   */
  @Example
  void checksOfReplicasAreNotReliedOnWhileVersionsRequireDifferentFreshness() {
    Settings base = LoadBalancerHarness.withDefaults().settings;
    Settings bounded = bounded(base, true);
    List<Settings> others =
        List.of(
            session(base, true),
            withRead(base, ReadConsistency.ANY, Span.NONE, true),
            withRead(base, ReadConsistency.BOUNDED, BOUND.times(4), true));
    for (Settings other : others) {
      for (Settings stricter :
          List.of(StricterSettings.of(bounded, other), StricterSettings.of(other, bounded))) {
        LoadBalancerHarness router = apply(stricter, 900);
        read(router, 0);
        check(
            router.attempts.stream().allMatch(attempt -> attempt.endpoint() == 0),
            "no replica is relied on to refuse the read: " + router.attempts);
        router = apply(stricter, 300);
        read(router, 0);
        check(
            router.lastAttempt().endpoint() != 0
                && router.lastAttempt().sendBy().equals(router.now.plus(ms(200))),
            "its own proof is relied on until then: " + router.lastAttempt());
      }
    }
    LoadBalancerHarness router = apply(StricterSettings.of(bounded, bounded), 300);
    read(router, 0);
    check(
        router.lastAttempt().sendBy().equals(Moment.NEVER),
        "where both versions require the same, replicas check it");
  }

  /**
   * A version that lets statements carry their session's commit is prepared and withdrawn: writes
   * of that time are remembered all the same, as the version in force demands.
   */
  @Example
  void writesAreRememberedWhileAVersionWithCarriedPositionsIsPrepared() {
    Settings carried = session(LoadBalancerHarness.withDefaults().settings, false);
    Settings remembered = withRememberedWrites(carried);
    for (Settings prepared :
        List.of(StricterSettings.of(remembered, carried), StricterSettings.strictest(carried))) {
      LoadBalancerHarness router = apply(remembered, 50);
      router.balancer.applySettings(router.now, prepared);
      router.receiveStatement(LoadBalancerHarness.WRITE, SESSION, Moment.LONG_AGO, 1_000);
      router.endAttempt(router.lastAttempt(), AttemptOutcome.COMPLETED, Role.PRIMARY, router.now);
      router.balancer.applySettings(router.now, remembered);
      read(router, 0);
      check(
          router.lastAttempt().endpoint() == 0,
          "no replica without the session's write is used: " + router.attempts);
    }
  }

  private static Settings withRememberedWrites(Settings base) {
    return base.withReplication(
        new Replication(base.replication().replicasCheckFreshness(), false, false));
  }

  /** A bounded read whose repeats are dropped for a while has two send deadlines. */
  @Example
  void repeatOfABoundedReadIsSentWithinItsBoundAndItsWindow() {
    Settings settings = bounded(LoadBalancerHarness.withDefaults().settings, false);
    Workload read = settings.workloads()[ANY];
    settings.workloads()[ANY] =
        new Workload(
            read.consistency(),
            read.maxStaleness(),
            Idempotency.DEDUPLICATED,
            read.deduplicationScope(),
            ms(150),
            read.latencyObjective(),
            read.timeout(),
            read.priorityWeight(),
            read.lateResponseValue(),
            true);
    LoadBalancerHarness router = apply(settings, 50);
    read(router, 0);
    Moment sentAt = router.now;
    router.advance(20);
    router.endAttempt(router.lastAttempt(), AttemptOutcome.RESET, Role.UNKNOWN);
    check(router.attempts.size() == 2, "the read is repeated: " + router.attempts);
    check(
        router.lastAttempt().sendBy().equals(sentAt.plus(ms(150))),
        "the repeat is sent while it would be dropped: " + router.lastAttempt());
  }

  /** A read that was taken before a reload keeps its kind, which replicas may no longer check. */
  @Example
  void readThatWaitsThroughAReloadIsNotLeftToReplicasThatCheckAnotherKind() {
    Settings base = LoadBalancerHarness.withDefaults().settings;
    LoadBalancerHarness router = apply(bounded(base, true), 0);
    router.advance(2_000);
    for (int endpoint = 0; endpoint < 3; endpoint++) {
      router.listEndpoint(endpoint, EndpointLifecycle.DRAINING, Moment.LONG_AGO);
    }
    int waiting = read(router, 0);
    check(router.attempts.isEmpty(), "no endpoint is in service: " + router.attempts);
    router.balancer.applySettings(router.now, withRead(base, ReadConsistency.ANY, Span.NONE, true));
    for (int endpoint = 1; endpoint < 3; endpoint++) {
      router.listEndpoint(endpoint, EndpointLifecycle.READY, Moment.LONG_AGO);
      router.completePoll(endpoint, Role.REPLICA, router.now.minus(ms(3_000)));
    }
    router.advance(300);
    check(
        router.attempts.stream().noneMatch(attempt -> attempt.statement() == waiting),
        "the bound of its arrival holds: " + router.attempts);
  }

  /** Without reports in time, no replica can be proven to be within the bound. */
  @Example
  void pollsFollowTheBoundOfEitherVersion() {
    Settings base = LoadBalancerHarness.withDefaults().settings;
    Workload[] onlyRead = {bounded(base, true).workloads()[ANY], base.workloads()[4]};
    Workload[] onlySession = {session(base, true).workloads()[ANY], base.workloads()[4]};
    for (boolean boundIsNewer : new boolean[] {false, true}) {
      Settings older = withWorkloads(base, boundIsNewer ? onlySession : onlyRead);
      Settings newer = withWorkloads(base, boundIsNewer ? onlyRead : onlySession);
      LoadBalancerHarness router = apply(older, 20);
      serveReads(router, 1_000);
      router.balancer.applySettings(router.now, StricterSettings.of(older, newer));
      serveReads(router, 200);
      int before = router.attempts.size();
      serveReads(router, 400);
      List<LoadBalancerHarness.SentAttempt> later =
          router.attempts.subList(before, router.attempts.size());
      long toReplicas = later.stream().filter(attempt -> attempt.endpoint() != 0).count();
      check(
          toReplicas > 0.9 * later.size(),
          "replicas are proven in time: " + toReplicas + " of " + later.size());
    }
  }

  /** Receives a read every 5 ms; each is answered, and so are polls, by replicas 20 ms behind. */
  private static void serveReads(LoadBalancerHarness router, int count) {
    for (int statement = 0; statement < count; statement++) {
      read(router, 0);
      router.endAttempts(
          attempt -> attempt.endpoint() == 0, AttemptOutcome.COMPLETED, Role.PRIMARY);
      router.endAttempts(attempt -> true, AttemptOutcome.COMPLETED, Role.REPLICA);
      router.advance(5);
      while (!router.polledEndpoints.isEmpty()) {
        int endpoint = router.polledEndpoints.remove(0);
        router.completePoll(
            endpoint, endpoint == 0 ? Role.PRIMARY : Role.REPLICA, router.now.minus(ms(20)));
      }
    }
  }

  private static Settings withWorkloads(Settings base, Workload[] workloads) {
    return base.withWorkloads(workloads).withReplication(new Replication(false, false, true));
  }
}
