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

/** Seen through what a router might do: what the meet allows, both allow. */
@SuppressWarnings("ReferenceEquality") // Asks which of two values it holds.
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
              0);
    }
    return new Settings(
        new RouterIdentity(1 + random.nextInt(9), 0, 0, 0),
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
        new PoolSettings(1 + random.nextInt(3), Span.ofMillis(random.nextInt(900))));
  }

  /**
   * May a second execution follow one that may have run, so long ago, in the same group and zone or
   * not?
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

  /** May a replica answer that lacks so much, to a session that has written or not? */
  private static boolean canReadFromReplica(
      Workload workload, int behindMillis, boolean hasWritten) {
    return switch (workload.consistency()) {
      case ANY -> true;
      case BOUNDED -> behindMillis <= workload.maxStaleness().micros() / 1_000;
      case SESSION -> !hasWritten;
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
        "where a session's commit is to be found differs, so none relies on it");
    check(
        StricterSettings.findConflicts(older, newer).isEmpty(),
        "reads and writes stay what they are");
    check(
        StricterSettings.of(newer, newer).attemptLimits().equals(newer.attemptLimits()),
        "a version meets itself");
  }

  private static void checkAllowsNoMore(SplittableRandom random, Settings strict, Settings other) {
    for (int i = 0; i < 3; i++) {
      Workload strictWorkload = strict.workloads()[i];
      Workload otherWorkload = other.workloads()[i];
      for (int attempt = 0; attempt < 20; attempt++) {
        int millis = random.nextInt(1_000);
        boolean sameZone = random.nextBoolean();
        boolean sameGroup = random.nextBoolean();
        check(
            !canRepeat(strictWorkload, millis, sameZone, sameGroup)
                || canRepeat(otherWorkload, millis, sameZone, sameGroup),
            "repeats: " + strictWorkload + " and " + otherWorkload);
        // A session's read and one of a bounded age are no stricter than each other: fresh reads
        // are.
        boolean isComparable =
            strictWorkload.consistency() == ReadConsistency.FRESH
                || strictWorkload.consistency() == otherWorkload.consistency()
                || otherWorkload.consistency() == ReadConsistency.ANY;
        check(
            i == 0
                || !isComparable
                || !canReadFromReplica(strictWorkload, millis, sameZone)
                || canReadFromReplica(otherWorkload, millis, sameZone),
            "reads: " + strictWorkload + " and " + otherWorkload);
      }
    }
    check(
        strict.attemptLimits().maxAttempts() <= other.attemptLimits().maxAttempts(), "executions");
    check(
        !strict.attemptLimits().hedgingEnabled() || other.attemptLimits().hedgingEnabled(),
        "second copies");
    check(
        !strict.replication().replicasCheckFreshness()
            || other.replication().replicasCheckFreshness(),
        "checks");
    check(
        strict.drainPolicy().excludesRemovedEndpoints()
            || !other.drainPolicy().excludesRemovedEndpoints(),
        "removals");
  }

  /** A new node's budget, by age: no more under the meet than under either. */
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
          "budget");
    }
  }
}
