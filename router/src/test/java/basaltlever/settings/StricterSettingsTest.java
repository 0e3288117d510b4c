package basaltlever.settings;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.gateway.AttemptLimits;
import basaltlever.gateway.DrainPolicy;
import basaltlever.gateway.PoolSettings;
import basaltlever.gateway.Replication;
import basaltlever.gateway.RouterIdentity;
import basaltlever.gateway.Settings;
import basaltlever.gateway.SlowStartPolicy;
import basaltlever.gateway.Workload;
import basaltlever.gateway.Workload.DeduplicationScope;
import basaltlever.gateway.Workload.Idempotency;
import basaltlever.gateway.Workload.ReadConsistency;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Checks that the stricter of two settings allows a router nothing that either forbids. */
@SuppressWarnings("ReferenceEquality") // Compares the identity of list elements.
class StricterSettingsTest {
  private static Settings randomSettings(SplittableRandom random) {
    Workload[] workloads = new Workload[3];
    for (int i = 0; i < workloads.length; i++) {
      ReadConsistency consistency =
          i == 0 ? ReadConsistency.WRITE : ReadConsistency.values()[1 + random.nextInt(4)];
      workloads[i] =
          new Workload(
              consistency,
              Span.ofMillis(consistency == ReadConsistency.BOUNDED ? random.nextInt(900) : 0),
              Idempotency.values()[random.nextInt(3)],
              DeduplicationScope.values()[random.nextInt(3)],
              Span.ofMillis(random.nextInt(900)),
              Span.ofMillis(300),
              Span.ofMillis(900),
              1,
              0,
              true);
    }
    return new Settings(
        new RouterIdentity(1 + random.nextInt(9), 0),
        workloads,
        new Replication(random.nextBoolean(), random.nextBoolean(), random.nextBoolean()),
        new DrainPolicy(true, Span.ofMillis(random.nextInt(900)), random.nextBoolean()),
        new SlowStartPolicy(
            random.nextDouble(),
            Span.ofMillis(1 + random.nextInt(900)),
            1 + random.nextInt(5),
            Span.ofMillis(1 + random.nextInt(900))),
        new AttemptLimits(
            1 + random.nextInt(6),
            random.nextBoolean(),
            random.nextBoolean(),
            true,
            Span.ofMillis(random.nextInt(900)),
            Span.ofMillis(20)),
        new PoolSettings(
            1 + random.nextInt(3),
            Span.ofMillis(random.nextInt(900)),
            Span.ofMillis(random.nextInt(900))));
  }

  /**
   * Whether a statement that may have run that many milliseconds ago may run again, in the same or
   * another zone and group.
   */
  private static boolean canRepeat(
      Workload workload, int ageMillis, boolean sameZone, boolean sameGroup) {
    return workload.idempotency() == Idempotency.IDEMPOTENT
        || (workload.idempotency() == Idempotency.DEDUPLICATED
            && ageMillis < workload.deduplicationWindow().micros() / 1_000
            && (workload.deduplicationScope() == DeduplicationScope.ALL
                || (workload.deduplicationScope() == DeduplicationScope.ZONE
                    ? sameZone
                    : sameGroup)));
  }

  /** Whether a replica with that staleness may answer a session, which may have written. */
  private static boolean canReadFromReplica(
      Workload workload, int behindMillis, boolean hasWritten) {
    return switch (workload.consistency()) {
      case ANY -> true;
      case BOUNDED -> behindMillis <= workload.maxStaleness().micros() / 1_000;
      case SESSION -> !hasWritten;
      case SESSION_AND_BOUNDED ->
          !hasWritten && behindMillis <= workload.maxStaleness().micros() / 1_000;
      default -> false;
    };
  }

  @Property(tries = 2_000, seed = "291")
  void stricterSettingsAllowOnlyWhatBothAllow(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Settings older = randomSettings(random);
    Settings newer = randomSettings(random);
    Settings stricter = StricterSettings.of(older, newer);
    for (Settings strict : List.of(stricter, StricterSettings.strictest(newer))) {
      for (Settings one :
          strict == stricter ? List.of(older, newer) : List.of(older, newer, stricter)) {
        checkAllowsNoMore(random, strict, one);
      }
    }
    boolean sameTokens =
        older.replication().sessionsCarryTokens() == newer.replication().sessionsCarryTokens();
    check(
        sameTokens
            || List.of(stricter.workloads()).stream()
                .noneMatch(workload -> workload.consistency() == ReadConsistency.SESSION),
        "no workload has SESSION consistency where only one of both carries session tokens");
    check(
        StricterSettings.findConflicts(older, newer).isEmpty(),
        "no conflict while each workload stays a read or a write");
    check(
        StricterSettings.of(newer, newer).attemptLimits().equals(newer.attemptLimits()),
        "the stricter of equal attempt limits equals them");
  }

  private static void checkAllowsNoMore(SplittableRandom random, Settings strict, Settings other) {
    for (int i = 0; i < 3; i++) {
      Workload stricter = strict.workloads()[i];
      Workload looser = other.workloads()[i];
      for (int attempt = 0; attempt < 20; attempt++) {
        int millis = random.nextInt(1_000);
        boolean sameZone = random.nextBoolean();
        boolean sameGroup = random.nextBoolean();
        check(
            !canRepeat(stricter, millis, sameZone, sameGroup)
                || canRepeat(looser, millis, sameZone, sameGroup),
            "repeats only where both settings allow them: " + stricter + " and " + looser);
        check(
            i == 0
                || !canReadFromReplica(stricter, millis, sameZone)
                || canReadFromReplica(looser, millis, sameZone),
            "a read is allowed only where both settings allow it: " + stricter + " and " + looser);
      }
    }
    check(
        strict.attemptLimits().maxAttempts() <= other.attemptLimits().maxAttempts(),
        "no more attempts than either allows");
    check(
        !strict.attemptLimits().hedgingEnabled() || other.attemptLimits().hedgingEnabled(),
        "hedged requests only where both allow them");
    check(
        !strict.replication().replicasCheckFreshness()
            || other.replication().replicasCheckFreshness(),
        "position checks by replicas only where both rely on them");
    check(
        strict.drainPolicy().excludesRemovedEndpoints()
            || !other.drainPolicy().excludesRemovedEndpoints(),
        "removals still bind");
  }

  /** A new endpoint's budget at any age is no larger than under either of the settings. */
  @Property(tries = 500, seed = "292")
  void stricterSlowStartBudgetIsNoLargerThanEither(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Settings older = randomSettings(random);
    Settings newer = randomSettings(random);
    Settings stricter = StricterSettings.of(older, newer);
    Span age = new Moment(random.nextInt(1_000_000)).since(new Moment(0));
    for (Settings one : List.of(older, newer)) {
      check(
          stricter.slowStart().capacityShareAt(age)
                  * stricter.slowStart().overloadFactor()
                  / stricter.identity().routerCount()
              <= one.slowStart().capacityShareAt(age)
                      * one.slowStart().overloadFactor()
                      / one.identity().routerCount()
                  + 1e-9,
          "the budget of a new endpoint is no larger than in either");
    }
  }
}
