package basaltlever.agree;

import basaltlever.gateway.Agreed;
import basaltlever.gateway.Allowance;
import basaltlever.gateway.Connections;
import basaltlever.gateway.Drains;
import basaltlever.gateway.Replication;
import basaltlever.gateway.Standing;
import basaltlever.gateway.WarmUp;
import basaltlever.gateway.Workload;
import basaltlever.gateway.Workload.Needs;
import basaltlever.gateway.Workload.Repeat;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.List;

/**
 * The stricter of two agreements, key by key: whatever it allows, each of the two allows. While a
 * fleet goes from one to the other its routers keep to it, so that no two of them contradict each
 * other (docs/agreement.md holds the table). Keys that only weigh one router's own choices are
 * independent: the newer one's value is taken.
 */
public final class Meet {
  private static final Needs[] FROM_STRICTEST = {
    Needs.FRESH, Needs.SESSION, Needs.BOUNDED, Needs.ANY
  };

  private Meet() {}

  /**
   * What keeps two agreements from having one that is stricter than both, by key and reason; empty
   * where there is one.
   */
  public static List<String> exclusive(Agreed older, Agreed newer) {
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
      boolean writes = newer.workloads()[i].needs() == Needs.WRITE;
      if (writes != (older.workloads()[i].needs() == Needs.WRITE)) {
        faults.add(
            "FamilyInfo.ClassRead: class "
                + i
                + " is a write in one and a read in the other, which takes a restart");
      }
    }
    return faults;
  }

  /** Both must be free of {@link #exclusive} faults. */
  public static Agreed of(Agreed older, Agreed newer) {
    boolean sameTokens =
        older.replication().sessionsCarryTokens() == newer.replication().sessionsCarryTokens();
    Workload[] workloads = new Workload[newer.workloads().length];
    for (int i = 0; i < workloads.length; i++) {
      workloads[i] = workload(older.workloads()[i], newer.workloads()[i], sameTokens);
    }
    return new Agreed(
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
  public static Agreed careful(Agreed known) {
    Workload[] workloads = new Workload[known.workloads().length];
    for (int i = 0; i < workloads.length; i++) {
      Workload kind = known.workloads()[i];
      workloads[i] =
          new Workload(
              kind.needs() == Needs.WRITE ? Needs.WRITE : Needs.FRESH,
              Span.NONE,
              Repeat.NON_IDEMPOTENT,
              Workload.Within.GROUP,
              Span.NONE,
              kind.slo(),
              kind.timeout(),
              kind.importance(),
              kind.lateShare());
    }
    Allowance allowance = known.allowance();
    return new Agreed(
        known.standing(),
        workloads,
        new Replication(false, false, known.replication().sessionsCarryTokens()),
        new Drains(known.drains().askedFor(), known.drains().mustAskIn(), true),
        known.warmUp(),
        new Allowance(
            1, false, allowance.cancels(), allowance.polls(), Span.NONE, allowance.answerSlack()),
        known.connections());
  }

  private static Standing standing(Standing older, Standing newer) {
    // More routers make the share of each smaller.
    return new Standing(
        Math.max(older.routers(), newer.routers()),
        newer.index(),
        newer.zone(),
        newer.pollPrice(),
        newer.crossingPrice());
  }

  private static Workload workload(Workload older, Workload newer, boolean sameTokens) {
    Needs needs = Needs.WRITE;
    for (int i = FROM_STRICTEST.length - 1; i >= 0 && newer.needs() != Needs.WRITE; i--) {
      boolean either = older.needs() == FROM_STRICTEST[i] || newer.needs() == FROM_STRICTEST[i];
      needs = either ? FROM_STRICTEST[i] : needs;
    }
    if (needs == Needs.SESSION && !sameTokens) {
      // Where a session's last commit is to be found differs, so only the primary is sure to have
      // it.
      needs = Needs.FRESH;
    }
    Span bound =
        older.needs() != Needs.BOUNDED
            ? newer.bound()
            : newer.needs() != Needs.BOUNDED ? older.bound() : older.bound().shorter(newer.bound());
    Repeat repeat = older.repeat().compareTo(newer.repeat()) > 0 ? older.repeat() : newer.repeat();
    boolean bothDropped =
        older.repeat() == Repeat.DEDUPLICATED && newer.repeat() == Repeat.DEDUPLICATED;
    Workload.Within within =
        older.repeat() == Repeat.DEDUPLICATED ? older.within() : newer.within();
    Span window = older.repeat() == Repeat.DEDUPLICATED ? older.window() : newer.window();
    if (bothDropped) {
      window = older.window().shorter(newer.window());
      within = older.within() == Workload.Within.ALL ? newer.within() : older.within();
      if (older.within() != newer.within()
          && older.within() != Workload.Within.ALL
          && newer.within() != Workload.Within.ALL) {
        // A zone and a group do not hold each other: where both must hold, nothing runs twice.
        repeat = Repeat.NON_IDEMPOTENT;
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

  private static Drains drains(Drains older, Drains newer) {
    return new Drains(
        older.askedFor() || newer.askedFor(),
        older.mustAskIn().shorter(newer.mustAskIn()),
        older.removalBinds() || newer.removalBinds());
  }

  private static WarmUp warmUp(WarmUp older, WarmUp newer) {
    return new WarmUp(
        Math.min(older.coldFrom(), newer.coldFrom()),
        older.warmAfter().longer(newer.warmAfter()),
        Math.min(older.topplesAt(), newer.topplesAt()),
        older.topplesIn().shorter(newer.topplesIn()));
  }

  private static Allowance allowance(Allowance older, Allowance newer) {
    return new Allowance(
        Math.min(older.executions(), newer.executions()),
        older.secondCopies() && newer.secondCopies(),
        older.cancels() && newer.cancels(),
        older.polls() && newer.polls(),
        older.longestComeBack().shorter(newer.longestComeBack()),
        older.answerSlack().shorter(newer.answerSlack()));
  }

  private static Connections connections(Connections older, Connections newer) {
    return new Connections(
        Math.min(older.streams(), newer.streams()), older.idleClose().shorter(newer.idleClose()));
  }
}
