package basaltlever.settings;

import static basaltlever.StandIn.check;

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
  private static Settings any(SplittableRandom chance) {
    Workload[] kinds = new Workload[3];
    for (int i = 0; i < kinds.length; i++) {
      ReadConsistency needs =
          i == 0 ? ReadConsistency.WRITE : ReadConsistency.values()[1 + chance.nextInt(4)];
      kinds[i] =
          new Workload(
              needs,
              Span.ofMillis(needs == ReadConsistency.BOUNDED ? chance.nextInt(900) : 0),
              Idempotency.values()[chance.nextInt(3)],
              DeduplicationScope.values()[chance.nextInt(3)],
              Span.ofMillis(chance.nextInt(900)),
              Span.ofMillis(300),
              Span.ofMillis(900),
              1,
              0);
    }
    return new Settings(
        new RouterIdentity(1 + chance.nextInt(9), 0, 0, 0),
        kinds,
        new Replication(chance.nextBoolean(), chance.nextBoolean(), chance.nextBoolean()),
        new DrainPolicy(true, Span.ofMillis(chance.nextInt(900)), chance.nextBoolean()),
        new SlowStartPolicy(
            chance.nextDouble(),
            Span.ofMillis(1 + chance.nextInt(900)),
            1 + chance.nextInt(5),
            Span.ofMillis(1 + chance.nextInt(900))),
        new AttemptLimits(
            1 + chance.nextInt(6),
            chance.nextBoolean(),
            chance.nextBoolean(),
            true,
            Span.ofMillis(chance.nextInt(900)),
            Span.ofMillis(20)),
        new PoolSettings(1 + chance.nextInt(3), Span.ofMillis(chance.nextInt(900))));
  }

  /**
   * May a second execution follow one that may have run, so long ago, in the same group and zone or
   * not?
   */
  private static boolean mayRepeat(Workload kind, int millis, boolean sameZone, boolean sameGroup) {
    return kind.idempotency() == Idempotency.IDEMPOTENT
        || (kind.idempotency() == Idempotency.DEDUPLICATED
            && millis < kind.deduplicationWindow().micros() / 1_000
            && (kind.deduplicationScope() == DeduplicationScope.ALL
                || (kind.deduplicationScope() == DeduplicationScope.ZONE ? sameZone : sameGroup)));
  }

  /** May a replica answer that lacks so much, to a session that has written or not? */
  private static boolean mayRead(Workload kind, int behindMillis, boolean wrote) {
    return switch (kind.consistency()) {
      case ANY -> true;
      case BOUNDED -> behindMillis <= kind.maxStaleness().micros() / 1_000;
      case SESSION -> !wrote;
      default -> false;
    };
  }

  @Property(tries = 2_000, seed = "291")
  void whatTheMeetAllowsBothAllow(@ForAll long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    Settings older = any(chance);
    Settings newer = any(chance);
    Settings meet = StricterSettings.of(older, newer);
    for (Settings strict : List.of(meet, StricterSettings.strictest(newer))) {
      for (Settings one : strict == meet ? List.of(older, newer) : List.of(older, newer, meet)) {
        noMore(chance, strict, one);
      }
    }
    boolean tokens =
        older.replication().sessionsCarryTokens() == newer.replication().sessionsCarryTokens();
    check(
        tokens
            || List.of(meet.workloads()).stream()
                .noneMatch(kind -> kind.consistency() == ReadConsistency.SESSION),
        "where a session's commit is to be found differs, so none relies on it");
    check(
        StricterSettings.findConflicts(older, newer).isEmpty(),
        "reads and writes stay what they are");
    check(
        StricterSettings.of(newer, newer).attemptLimits().equals(newer.attemptLimits()),
        "a version meets itself");
  }

  private static void noMore(SplittableRandom chance, Settings strict, Settings one) {
    for (int i = 0; i < 3; i++) {
      Workload kind = strict.workloads()[i];
      Workload other = one.workloads()[i];
      for (int k = 0; k < 20; k++) {
        int millis = chance.nextInt(1_000);
        boolean zone = chance.nextBoolean();
        boolean group = chance.nextBoolean();
        check(
            !mayRepeat(kind, millis, zone, group) || mayRepeat(other, millis, zone, group),
            "repeats: " + kind + " and " + other);
        // A session's read and one of a bounded age are no stricter than each other: fresh reads
        // are.
        boolean compares =
            kind.consistency() == ReadConsistency.FRESH
                || kind.consistency() == other.consistency()
                || other.consistency() == ReadConsistency.ANY;
        check(
            i == 0 || !compares || !mayRead(kind, millis, zone) || mayRead(other, millis, zone),
            "reads: " + kind + " and " + other);
      }
    }
    check(strict.attemptLimits().maxAttempts() <= one.attemptLimits().maxAttempts(), "executions");
    check(
        !strict.attemptLimits().hedgingEnabled() || one.attemptLimits().hedgingEnabled(),
        "second copies");
    check(
        !strict.replication().replicasCheckFreshness()
            || one.replication().replicasCheckFreshness(),
        "checks");
    check(
        strict.drainPolicy().excludesRemovedEndpoints()
            || !one.drainPolicy().excludesRemovedEndpoints(),
        "removals");
  }

  /** A new node's budget, by age: no more under the meet than under either. */
  @Property(tries = 500, seed = "292")
  void sharesAndBudgetsAreNoLarger(@ForAll long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    Settings older = any(chance);
    Settings newer = any(chance);
    Settings meet = StricterSettings.of(older, newer);
    Span age = new Moment(chance.nextInt(1_000_000)).since(new Moment(0));
    for (Settings one : List.of(older, newer)) {
      check(
          meet.slowStart().capacityShareAt(age)
                  * meet.slowStart().overloadFactor()
                  / meet.identity().routerCount()
              <= one.slowStart().capacityShareAt(age)
                      * one.slowStart().overloadFactor()
                      / one.identity().routerCount()
                  + 1e-9,
          "budget");
    }
  }
}
