package basaltlever.settings;

import basaltlever.gateway.AttemptLimits;
import basaltlever.gateway.DrainPolicy;
import basaltlever.gateway.PoolSettings;
import basaltlever.gateway.Replication;
import basaltlever.gateway.RouterIdentity;
import basaltlever.gateway.Settings;
import basaltlever.gateway.SlowStartPolicy;
import basaltlever.gateway.Workload;
import basaltlever.gateway.Workload.Idempotency;
import basaltlever.gateway.Workload.ReadConsistency;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.List;

/**
 * The stricter of two agreements, key by key: whatever it allows, each of the two allows. While a
 * fleet goes from one to the other its routers keep to it, so that no two of them contradict each
 * other (docs/agreement.md holds the table). Keys that only weigh one router's own choices are
 * independent: the newer one's value is taken.
 */
public final class StricterSettings {
  private static final ReadConsistency[] FROM_STRICTEST = {
    ReadConsistency.FRESH, ReadConsistency.SESSION, ReadConsistency.BOUNDED, ReadConsistency.ANY
  };

  private StricterSettings() {}

  /**
   * What keeps two agreements from having one that is stricter than both, by key and reason; empty
   * where there is one.
   */
  public static List<String> exclusive(Settings older, Settings newer) {
    List<String> faults = new ArrayList<>();
    if (older.workloads().length != newer.workloads().length) {
      faults.add(
          "Classes: there are "
              + older.workloads().length
              + " and "
              + newer.workloads().length
              + ", which takes a restart");
      return faults;
    }
    for (int i = 0; i < older.workloads().length; i++) {
      boolean writes = newer.workloads()[i].needs() == ReadConsistency.WRITE;
      if (writes != (older.workloads()[i].needs() == ReadConsistency.WRITE)) {
        faults.add(
            "FamilyInfo.ClassRead: class "
                + i
                + " is a write in one and a read in the other, which takes a restart");
      }
    }
    return faults;
  }

  /** Both must be free of {@link #exclusive} faults. */
  public static Settings of(Settings older, Settings newer) {
    boolean sameTokens =
        older.replication().sessionsCarryTokens() == newer.replication().sessionsCarryTokens();
    Workload[] workloads = new Workload[newer.workloads().length];
    for (int i = 0; i < workloads.length; i++) {
      workloads[i] = workload(older.workloads()[i], newer.workloads()[i], sameTokens);
    }
    return new Settings(
        standing(older.standing(), newer.standing()),
        workloads,
        replication(older.replication(), newer.replication()),
        drains(older.drains(), newer.drains()),
        warmUp(older.warmUp(), newer.warmUp()),
        allowance(older.allowance(), newer.allowance()),
        connections(older.connections(), newer.connections()));
  }

  /**
   * What no agreement could forbid, for a router that does not know which holds: reads by the
   * primary alone and once, writes once. A limit that some agreement may have lowered is at its
   * least.
   */
  public static Settings careful(Settings known) {
    Workload[] workloads = new Workload[known.workloads().length];
    for (int i = 0; i < workloads.length; i++) {
      Workload kind = known.workloads()[i];
      workloads[i] =
          new Workload(
              kind.needs() == ReadConsistency.WRITE ? ReadConsistency.WRITE : ReadConsistency.FRESH,
              Span.NONE,
              Idempotency.NON_IDEMPOTENT,
              Workload.DeduplicationScope.GROUP,
              Span.NONE,
              kind.slo(),
              kind.timeout(),
              kind.importance(),
              kind.lateShare());
    }
    AttemptLimits allowance = known.allowance();
    return new Settings(
        known.standing(),
        workloads,
        new Replication(false, false, known.replication().sessionsCarryTokens()),
        new DrainPolicy(known.drains().askedFor(), known.drains().mustAskIn(), true),
        known.warmUp(),
        new AttemptLimits(
            1, false, allowance.cancels(), allowance.polls(), Span.NONE, allowance.answerSlack()),
        known.connections());
  }

  private static RouterIdentity standing(RouterIdentity older, RouterIdentity newer) {
    // More routers make the share of each smaller.
    return new RouterIdentity(
        Math.max(older.routers(), newer.routers()),
        newer.index(),
        newer.zone(),
        newer.pollPrice(),
        newer.crossingPrice());
  }

  private static Workload workload(Workload older, Workload newer, boolean sameTokens) {
    ReadConsistency needs = ReadConsistency.WRITE;
    for (int i = FROM_STRICTEST.length - 1; i >= 0 && newer.needs() != ReadConsistency.WRITE; i--) {
      boolean either = older.needs() == FROM_STRICTEST[i] || newer.needs() == FROM_STRICTEST[i];
      needs = either ? FROM_STRICTEST[i] : needs;
    }
    if (needs == ReadConsistency.SESSION && !sameTokens) {
      // Where a session's last commit is to be found differs, so only the primary is sure to have
      // it.
      needs = ReadConsistency.FRESH;
    }
    Span bound =
        older.needs() != ReadConsistency.BOUNDED
            ? newer.bound()
            : newer.needs() != ReadConsistency.BOUNDED
                ? older.bound()
                : older.bound().shorter(newer.bound());
    Idempotency repeat =
        older.repeat().compareTo(newer.repeat()) > 0 ? older.repeat() : newer.repeat();
    boolean bothDropped =
        older.repeat() == Idempotency.DEDUPLICATED && newer.repeat() == Idempotency.DEDUPLICATED;
    Workload.DeduplicationScope within =
        older.repeat() == Idempotency.DEDUPLICATED ? older.within() : newer.within();
    Span window = older.repeat() == Idempotency.DEDUPLICATED ? older.window() : newer.window();
    if (bothDropped) {
      window = older.window().shorter(newer.window());
      within = older.within() == Workload.DeduplicationScope.ALL ? newer.within() : older.within();
      if (older.within() != newer.within()
          && older.within() != Workload.DeduplicationScope.ALL
          && newer.within() != Workload.DeduplicationScope.ALL) {
        // A zone and a group do not hold each other: where both must hold, nothing runs twice.
        repeat = Idempotency.NON_IDEMPOTENT;
      }
    }
    return new Workload(
        needs,
        bound,
        repeat,
        within,
        window,
        newer.slo(),
        newer.timeout(),
        newer.importance(),
        newer.lateShare());
  }

  private static Replication replication(Replication older, Replication newer) {
    // What nodes are not sure to check, the router must have proven.
    return new Replication(
        older.replicasCheck() && newer.replicasCheck(),
        older.positionsInAnswers() && newer.positionsInAnswers(),
        newer.sessionsCarryTokens());
  }

  private static DrainPolicy drains(DrainPolicy older, DrainPolicy newer) {
    return new DrainPolicy(
        older.askedFor() || newer.askedFor(),
        older.mustAskIn().shorter(newer.mustAskIn()),
        older.removalBinds() || newer.removalBinds());
  }

  private static SlowStartPolicy warmUp(SlowStartPolicy older, SlowStartPolicy newer) {
    return new SlowStartPolicy(
        Math.min(older.coldFrom(), newer.coldFrom()),
        older.warmAfter().longer(newer.warmAfter()),
        Math.min(older.topplesAt(), newer.topplesAt()),
        older.topplesIn().shorter(newer.topplesIn()));
  }

  private static AttemptLimits allowance(AttemptLimits older, AttemptLimits newer) {
    return new AttemptLimits(
        Math.min(older.executions(), newer.executions()),
        older.secondCopies() && newer.secondCopies(),
        older.cancels() && newer.cancels(),
        older.polls() && newer.polls(),
        older.longestComeBack().shorter(newer.longestComeBack()),
        older.answerSlack().shorter(newer.answerSlack()));
  }

  private static PoolSettings connections(PoolSettings older, PoolSettings newer) {
    return new PoolSettings(
        Math.min(older.streams(), newer.streams()), older.idleClose().shorter(newer.idleClose()));
  }
}
