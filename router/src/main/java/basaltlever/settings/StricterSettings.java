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
 * Computes the stricter of two settings, key by key: whatever it allows, both settings allow. While
 * a fleet changes from one version to the next its routers comply with the stricter of both, so
 * that no two of them contradict each other (docs/agreement.md has the table of keys). For keys
 * that only concern a router's own choices the newer value is used.
 */
public final class StricterSettings {
  private StricterSettings() {}

  /**
   * Returns the reasons why these two settings can't be combined, each starting with the settings
   * key; empty if they can.
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
      boolean writes = newer.workloads()[i].consistency() == ReadConsistency.WRITE;
      if (writes != (older.workloads()[i].consistency() == ReadConsistency.WRITE)) {
        reasons.add(
            "FamilyInfo.ClassRead: class "
                + i
                + " is a write in one and a read in the other, which takes a restart");
      }
    }
    return reasons;
  }

  /**
   * Returns the stricter of both settings, for which {@link #findConflicts} must return no reason.
   */
  public static Settings of(Settings older, Settings newer) {
    boolean sameTokens =
        older.replication().sessionsCarryTokens() == newer.replication().sessionsCarryTokens();
    Workload[] workloads = new Workload[newer.workloads().length];
    for (int i = 0; i < workloads.length; i++) {
      workloads[i] = stricterWorkload(older.workloads()[i], newer.workloads()[i], sameTokens);
    }
    return new Settings(
        stricterIdentity(older.identity(), newer.identity()),
        workloads,
        stricterReplication(older.replication(), newer.replication()),
        stricterDrainPolicy(older.drainPolicy(), newer.drainPolicy()),
        stricterSlowStart(older.slowStart(), newer.slowStart()),
        stricterAttemptLimits(older.attemptLimits(), newer.attemptLimits()),
        stricterPool(older.poolSettings(), newer.poolSettings()));
  }

  /**
   * Returns settings that every version allows, for a router without a lease, which can't rely on
   * the version in force: only the primary answers reads, and each statement is attempted once.
   */
  public static Settings strictest(Settings base) {
    Workload[] workloads = new Workload[base.workloads().length];
    for (int i = 0; i < workloads.length; i++) {
      workloads[i] = strictestWorkload(base.workloads()[i]);
    }
    AttemptLimits limits = base.attemptLimits();
    return new Settings(
        base.identity(),
        workloads,
        new Replication(false, false, base.replication().sessionsCarryTokens()),
        new DrainPolicy(
            base.drainPolicy().listWatchEnabled(), base.drainPolicy().listRenewalInterval(), true),
        base.slowStart(),
        new AttemptLimits(
            1,
            false,
            limits.cancellationEnabled(),
            limits.pollingEnabled(),
            Span.NONE,
            limits.responseMargin()),
        base.poolSettings());
  }

  private static Workload strictestWorkload(Workload base) {
    return new Workload(
        base.consistency() == ReadConsistency.WRITE ? ReadConsistency.WRITE : ReadConsistency.FRESH,
        Span.NONE,
        Idempotency.NON_IDEMPOTENT,
        DeduplicationScope.GROUP,
        Span.NONE,
        base.latencyObjective(),
        base.timeout(),
        base.priorityWeight(),
        base.lateResponseValue(),
        true);
  }

  private static RouterIdentity stricterIdentity(RouterIdentity older, RouterIdentity newer) {
    // The more routers, the smaller the share of each.
    return new RouterIdentity(
        Math.max(older.routerCount(), newer.routerCount()), newer.index(), newer.zone());
  }

  private static Workload stricterWorkload(Workload older, Workload newer, boolean sameTokens) {
    return new Workload(
        stricterConsistency(older, newer, sameTokens),
        stricterStaleness(older, newer),
        stricterIdempotency(older, newer),
        stricterScope(older, newer),
        stricterWindow(older, newer),
        newer.latencyObjective(),
        newer.timeout(),
        newer.priorityWeight(),
        newer.lateResponseValue(),
        isCheckedForBoth(older, newer));
  }

  /**
   * Replicas check by one of both versions, and nothing tells which; only where both require the
   * same are they sure to check it.
   */
  private static boolean isCheckedForBoth(Workload older, Workload newer) {
    return older.checkedByReplicas()
        && newer.checkedByReplicas()
        && older.requiresSameFreshnessAs(newer);
  }

  private static ReadConsistency stricterConsistency(
      Workload older, Workload newer, boolean sameTokens) {
    if (newer.consistency() == ReadConsistency.WRITE) {
      return ReadConsistency.WRITE;
    }
    boolean includesSessionWrites =
        older.consistency().includesSessionWrites() || newer.consistency().includesSessionWrites();
    // Versions that expect a session's last commit position in different places leave only the
    // primary sure to have that commit.
    boolean isFresh =
        older.consistency() == ReadConsistency.FRESH
            || newer.consistency() == ReadConsistency.FRESH;
    if (isFresh || (includesSessionWrites && !sameTokens)) {
      return ReadConsistency.FRESH;
    }
    boolean isBounded = older.consistency().isBounded() || newer.consistency().isBounded();
    return withRequirements(includesSessionWrites, isBounded);
  }

  /** Neither of session and bounded reads is the stricter: each requirement is kept by itself. */
  private static ReadConsistency withRequirements(
      boolean includesSessionWrites, boolean isBounded) {
    if (includesSessionWrites) {
      return isBounded ? ReadConsistency.SESSION_AND_BOUNDED : ReadConsistency.SESSION;
    }
    return isBounded ? ReadConsistency.BOUNDED : ReadConsistency.ANY;
  }

  private static Span stricterStaleness(Workload older, Workload newer) {
    if (older.consistency().isBounded() && newer.consistency().isBounded()) {
      return older.maxStaleness().shorter(newer.maxStaleness());
    }
    return older.consistency().isBounded() ? older.maxStaleness() : newer.maxStaleness();
  }

  private static Idempotency stricterIdempotency(Workload older, Workload newer) {
    if (areBothDeduplicated(older, newer) && scopesOverlapOnly(older, newer)) {
      return Idempotency.NON_IDEMPOTENT;
    }
    return older.idempotency().compareTo(newer.idempotency()) > 0
        ? older.idempotency()
        : newer.idempotency();
  }

  private static boolean areBothDeduplicated(Workload older, Workload newer) {
    return isDeduplicated(older) && isDeduplicated(newer);
  }

  private static boolean isDeduplicated(Workload workload) {
    return workload.idempotency() == Idempotency.DEDUPLICATED;
  }

  /** Whether the scopes are zone and group, which overlap without one containing the other. */
  private static boolean scopesOverlapOnly(Workload older, Workload newer) {
    return older.deduplicationScope() != newer.deduplicationScope()
        && older.deduplicationScope() != DeduplicationScope.ALL
        && newer.deduplicationScope() != DeduplicationScope.ALL;
  }

  private static DeduplicationScope stricterScope(Workload older, Workload newer) {
    if (areBothDeduplicated(older, newer)) {
      return older.deduplicationScope() == DeduplicationScope.ALL
          ? newer.deduplicationScope()
          : older.deduplicationScope();
    }
    return isDeduplicated(older) ? older.deduplicationScope() : newer.deduplicationScope();
  }

  private static Span stricterWindow(Workload older, Workload newer) {
    if (areBothDeduplicated(older, newer)) {
      return older.deduplicationWindow().shorter(newer.deduplicationWindow());
    }
    return isDeduplicated(older) ? older.deduplicationWindow() : newer.deduplicationWindow();
  }

  private static Replication stricterReplication(Replication older, Replication newer) {
    // If replicas may not check the position themselves, the router must have evidence of it.
    return new Replication(
        older.replicasCheckFreshness() && newer.replicasCheckFreshness(),
        older.positionsInResponses() && newer.positionsInResponses(),
        newer.sessionsCarryTokens());
  }

  private static DrainPolicy stricterDrainPolicy(DrainPolicy older, DrainPolicy newer) {
    return new DrainPolicy(
        older.listWatchEnabled() || newer.listWatchEnabled(),
        older.listRenewalInterval().shorter(newer.listRenewalInterval()),
        older.excludesRemovedEndpoints() || newer.excludesRemovedEndpoints());
  }

  private static SlowStartPolicy stricterSlowStart(SlowStartPolicy older, SlowStartPolicy newer) {
    return new SlowStartPolicy(
        Math.min(older.initialShare(), newer.initialShare()),
        older.warmUpTime().longer(newer.warmUpTime()),
        Math.min(older.overloadFactor(), newer.overloadFactor()),
        older.overloadTime().shorter(newer.overloadTime()),
        older.guaranteedInterval().longer(newer.guaranteedInterval()));
  }

  private static AttemptLimits stricterAttemptLimits(AttemptLimits older, AttemptLimits newer) {
    return new AttemptLimits(
        Math.min(older.maxAttempts(), newer.maxAttempts()),
        older.hedgingEnabled() && newer.hedgingEnabled(),
        older.cancellationEnabled() && newer.cancellationEnabled(),
        older.pollingEnabled() && newer.pollingEnabled(),
        older.maxRetryAfter().shorter(newer.maxRetryAfter()),
        older.responseMargin().longer(newer.responseMargin()));
  }

  private static PoolSettings stricterPool(PoolSettings older, PoolSettings newer) {
    return new PoolSettings(
        Math.min(older.streamsPerConnection(), newer.streamsPerConnection()),
        older.idleTimeout().shorter(newer.idleTimeout()),
        older.connectTimeout().shorter(newer.connectTimeout()));
  }
}
