package basaltlever.settings;

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
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.List;

/**
 * The stricter of two settings, key by key: whatever it allows, each of the two allows. While a
 * fleet changes from one version to the next its routers comply with the stricter of both, so that
 * no two of them contradict each other (docs/agreement.md has the table of keys). Keys that only
 * concern a router's own choices are independent: the newer value is taken.
 */
public final class StricterSettings {
  private static final ReadConsistency[] FROM_STRICTEST = {
    ReadConsistency.FRESH, ReadConsistency.SESSION, ReadConsistency.BOUNDED, ReadConsistency.ANY
  };

  private StricterSettings() {}

  /**
   * Why there is no stricter of these two settings, each reason beginning with the settings key;
   * empty where there is one.
   */
  public static List<String> findConflicts(Settings older, Settings newer) {
    List<String> reasons = new ArrayList<>();
    if (older.workloads().length != newer.workloads().length) {
      reasons.add(
          "Classes: there are "
              + older.workloads().length
              + " and "
              + newer.workloads().length
              + ", which takes a restart");
      return reasons;
    }
    for (int i = 0; i < older.workloads().length; i++) {
      boolean writes = newer.workloads()[i].needs() == ReadConsistency.WRITE;
      if (writes != (older.workloads()[i].needs() == ReadConsistency.WRITE)) {
        reasons.add(
            "FamilyInfo.ClassRead: class "
                + i
                + " is a write in one and a read in the other, which takes a restart");
      }
    }
    return reasons;
  }

  /**
   * The stricter of both, for which {@link #findConflicts} must have found no reason against it.
   */
  public static Settings of(Settings older, Settings newer) {
    boolean sameTokens =
        older.replication().sessionsCarryTokens() == newer.replication().sessionsCarryTokens();
    Workload[] workloads = new Workload[newer.workloads().length];
    for (int i = 0; i < workloads.length; i++) {
      workloads[i] = stricterWorkload(older.workloads()[i], newer.workloads()[i], sameTokens);
    }
    return new Settings(
        stricterIdentity(older.standing(), newer.standing()),
        workloads,
        stricterReplication(older.replication(), newer.replication()),
        stricterDrainPolicy(older.drains(), newer.drains()),
        stricterSlowStart(older.warmUp(), newer.warmUp()),
        stricterAttemptLimits(older.allowance(), newer.allowance()),
        stricterPool(older.connections(), newer.connections()));
  }

  /**
   * What every version allows, for a router without a lease, which does not know the version in
   * force: only the primary answers reads, and each statement is attempted once.
   */
  public static Settings careful(Settings known) {
    Workload[] workloads = new Workload[known.workloads().length];
    for (int i = 0; i < workloads.length; i++) {
      workloads[i] = strictestWorkload(known.workloads()[i]);
    }
    AttemptLimits limits = known.allowance();
    return new Settings(
        known.standing(),
        workloads,
        new Replication(false, false, known.replication().sessionsCarryTokens()),
        new DrainPolicy(known.drains().askedFor(), known.drains().mustAskIn(), true),
        known.warmUp(),
        new AttemptLimits(
            1, false, limits.cancels(), limits.polls(), Span.NONE, limits.answerSlack()),
        known.connections());
  }

  private static Workload strictestWorkload(Workload known) {
    return new Workload(
        known.needs() == ReadConsistency.WRITE ? ReadConsistency.WRITE : ReadConsistency.FRESH,
        Span.NONE,
        Idempotency.NON_IDEMPOTENT,
        DeduplicationScope.GROUP,
        Span.NONE,
        known.slo(),
        known.timeout(),
        known.importance(),
        known.lateShare());
  }

  private static RouterIdentity stricterIdentity(RouterIdentity older, RouterIdentity newer) {
    // The more routers, the smaller the share of each.
    return new RouterIdentity(
        Math.max(older.routers(), newer.routers()),
        newer.index(),
        newer.zone(),
        newer.pollPrice(),
        newer.crossingPrice());
  }

  private static Workload stricterWorkload(Workload older, Workload newer, boolean sameTokens) {
    return new Workload(
        stricterConsistency(older, newer, sameTokens),
        stricterStaleness(older, newer),
        stricterIdempotency(older, newer),
        stricterScope(older, newer),
        stricterWindow(older, newer),
        newer.slo(),
        newer.timeout(),
        newer.importance(),
        newer.lateShare());
  }

  private static ReadConsistency stricterConsistency(
      Workload older, Workload newer, boolean sameTokens) {
    if (newer.needs() == ReadConsistency.WRITE) {
      return ReadConsistency.WRITE;
    }
    ReadConsistency strictest = strictestOf(older.needs(), newer.needs());
    // The two versions expect a session's last commit position in different places, so only the
    // primary is sure to have that commit.
    return strictest == ReadConsistency.SESSION && !sameTokens ? ReadConsistency.FRESH : strictest;
  }

  private static ReadConsistency strictestOf(ReadConsistency one, ReadConsistency other) {
    for (ReadConsistency consistency : FROM_STRICTEST) {
      if (one == consistency || other == consistency) {
        return consistency;
      }
    }
    return ReadConsistency.WRITE;
  }

  private static Span stricterStaleness(Workload older, Workload newer) {
    if (older.needs() != ReadConsistency.BOUNDED) {
      return newer.bound();
    }
    return newer.needs() == ReadConsistency.BOUNDED
        ? older.bound().shorter(newer.bound())
        : older.bound();
  }

  private static Idempotency stricterIdempotency(Workload older, Workload newer) {
    if (areBothDeduplicated(older, newer) && scopesOverlapOnly(older, newer)) {
      return Idempotency.NON_IDEMPOTENT;
    }
    return older.repeat().compareTo(newer.repeat()) > 0 ? older.repeat() : newer.repeat();
  }

  private static boolean areBothDeduplicated(Workload older, Workload newer) {
    return isDeduplicated(older) && isDeduplicated(newer);
  }

  private static boolean isDeduplicated(Workload workload) {
    return workload.repeat() == Idempotency.DEDUPLICATED;
  }

  /** A zone and a group only overlap: neither scope is the narrower one. */
  private static boolean scopesOverlapOnly(Workload older, Workload newer) {
    return older.within() != newer.within()
        && older.within() != DeduplicationScope.ALL
        && newer.within() != DeduplicationScope.ALL;
  }

  private static DeduplicationScope stricterScope(Workload older, Workload newer) {
    if (areBothDeduplicated(older, newer)) {
      return older.within() == DeduplicationScope.ALL ? newer.within() : older.within();
    }
    return isDeduplicated(older) ? older.within() : newer.within();
  }

  private static Span stricterWindow(Workload older, Workload newer) {
    if (areBothDeduplicated(older, newer)) {
      return older.window().shorter(newer.window());
    }
    return isDeduplicated(older) ? older.window() : newer.window();
  }

  private static Replication stricterReplication(Replication older, Replication newer) {
    // Where replicas may not check the position themselves the router must have proof of it.
    return new Replication(
        older.replicasCheck() && newer.replicasCheck(),
        older.positionsInAnswers() && newer.positionsInAnswers(),
        newer.sessionsCarryTokens());
  }

  private static DrainPolicy stricterDrainPolicy(DrainPolicy older, DrainPolicy newer) {
    return new DrainPolicy(
        older.askedFor() || newer.askedFor(),
        older.mustAskIn().shorter(newer.mustAskIn()),
        older.removalBinds() || newer.removalBinds());
  }

  private static SlowStartPolicy stricterSlowStart(SlowStartPolicy older, SlowStartPolicy newer) {
    return new SlowStartPolicy(
        Math.min(older.coldFrom(), newer.coldFrom()),
        older.warmAfter().longer(newer.warmAfter()),
        Math.min(older.topplesAt(), newer.topplesAt()),
        older.topplesIn().shorter(newer.topplesIn()));
  }

  private static AttemptLimits stricterAttemptLimits(AttemptLimits older, AttemptLimits newer) {
    return new AttemptLimits(
        Math.min(older.executions(), newer.executions()),
        older.secondCopies() && newer.secondCopies(),
        older.cancels() && newer.cancels(),
        older.polls() && newer.polls(),
        older.longestComeBack().shorter(newer.longestComeBack()),
        older.answerSlack().shorter(newer.answerSlack()));
  }

  private static PoolSettings stricterPool(PoolSettings older, PoolSettings newer) {
    return new PoolSettings(
        Math.min(older.streams(), newer.streams()), older.idleClose().shorter(newer.idleClose()));
  }
}
