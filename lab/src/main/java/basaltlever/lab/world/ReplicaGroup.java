package basaltlever.lab.world;

import basaltlever.switchover.SwitchoverAnnouncement;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.List;

/**
 * One group: its members, the one that may write, and the log that they share. A write is answered
 * when most members have its record, so a new primary has every commit that was answered, and a
 * replaced one can add none.
 */
public final class ReplicaGroup {
  private static final Span MAX_WRITE_DRAIN = Span.ofMillis(300);
  private static final Span CHECK_INTERVAL = Span.ofMillis(5);
  public final int number;
  private final SimulatedCluster cluster;
  final List<Server> members = new ArrayList<>();
  Server primary;
  private Moment primaryLostAt = Moment.NEVER;
  private boolean electing;
  private boolean switching;
  private SwitchoverAnnouncement announcement;

  /** Of all commits, rounded up to milliseconds as answers tell them; rising. */
  private long[] commitsMillis = new long[1_024];

  private int commitCount;

  ReplicaGroup(SimulatedCluster cluster, int number) {
    this.cluster = cluster;
    this.number = number;
  }

  public List<Server> members() {
    return members;
  }

  public Server primary() {
    return primary;
  }

  /** Up to when the log has had somebody to write it. */
  Moment logEnd(Moment now) {
    return now.earlier(primaryLostAt);
  }

  long appendCommit(Moment now) {
    long millis = Math.floorDiv(now.micros() + 999, 1_000L);
    if (commitCount == commitsMillis.length) {
      commitsMillis = java.util.Arrays.copyOf(commitsMillis, 2 * commitCount);
    }
    commitsMillis[commitCount++] = millis;
    return millis;
  }

  /** Whether a commit that the read had to see was missing in the data. */
  boolean isStale(Statement.Execution execution, Moment position) {
    Statement statement = execution.statement;
    long requiredMillis =
        switch (statement.workload.consistency()) {
          case "session" -> statement.requiredCommitMillis;
          case "bounded" ->
              execution.arrivedAt.minus(statement.workload.stalenessBound()).micros() / 1_000;
          case "fresh" -> statement.dueAt.micros() / 1_000;
          default -> 0;
        };
    long positionMillis = Math.floorDiv(position.micros(), 1_000L);
    for (int i = commitCount - 1; i >= 0 && commitsMillis[i] > positionMillis; i--) {
      if (commitsMillis[i] <= requiredMillis) {
        return true;
      }
    }
    return false;
  }

  // ---- Unplanned changes.

  void onServerLost(Server member) {
    if (member != primary || electing) {
      return;
    }
    electing = true;
    primaryLostAt = cluster.now();
    cluster.addMark(number + " lost " + member.id);
    cluster.scheduler.runAfter(cluster.drawDetectionTime(), this::elect);
  }

  private void elect() {
    if (primary.isHealthy() && primary.claimsPrimary) {
      // Back before anybody noticed.
      electing = false;
      primaryLostAt = Moment.NEVER;
      return;
    }
    Server candidate = null;
    for (Server member : members) {
      if (member != primary
          && member.isHealthy()
          && (candidate == null
              || member
                  .appliedPosition(cluster.now())
                  .isAfter(candidate.appliedPosition(cluster.now())))) {
        candidate = member;
      }
    }
    if (candidate == null) {
      cluster.scheduler.runAfter(CHECK_INTERVAL.times(20), this::elect);
      return;
    }
    promote(candidate);
  }

  /** From here on the old one's writes reach no log; the new one writes once it has taken over. */
  private void promote(Server next) {
    primary = next;
    primaryLostAt = primaryLostAt.earlier(cluster.now());
    next.refusesWrites = true;
    cluster.scheduler.runAfter(
        cluster.drawPromotionTime(),
        () -> {
          if (primary != next || !next.isUp() || next.isHung()) {
            elect();
            return;
          }
          electing = false;
          switching = false;
          primaryLostAt = Moment.NEVER;
          for (Server member : members) {
            // One that hangs or is cut off goes on believing what it believed.
            member.claimsPrimary = member == next || (member.claimsPrimary && member.isHung());
          }
          next.refusesWrites = false;
          cluster.onPrimaryChanged(this);
        });
  }

  // ---- Planned ones.

  public SwitchoverAnnouncement announcement() {
    return announcement;
  }

  /** True where it stands: the target is another sound member, and no change is under way. */
  public boolean announce(SwitchoverAnnouncement next, Span delay) {
    Server target =
        members.stream().filter(member -> member.id.equals(next.target())).findAny().orElse(null);
    if (target == null
        || target == primary
        || (announcement != null && next.number() <= announcement.number())) {
      return false;
    }
    announcement = next;
    cluster.addMark(number + " to " + next.target() + " announced");
    Moment start = new Moment(next.atMillis() * 1_000).plus(delay);
    cluster.scheduler.runAt(
        start.later(cluster.now()),
        () -> {
          if (next.equals(announcement) && target.isHealthy() && !electing && !switching) {
            handOver(target);
          }
        });
    return true;
  }

  public void cancelSwitchover() {
    if (announcement != null) {
      announcement =
          new SwitchoverAnnouncement(
              announcement.number(), announcement.target(), announcement.atMillis(), true);
    }
  }

  /**
   * The primary takes no more writes, ends those it has, and hands over; without a word to anybody.
   */
  void handOver(Server target) {
    Server oldPrimary = primary;
    if (switching || electing || oldPrimary == target || !oldPrimary.isHealthy()) {
      return;
    }
    switching = true;
    oldPrimary.refusesWrites = true;
    if (cluster.hasAbruptSwitchovers()) {
      oldPrimary.abortWrites();
    }
    cluster.addMark(number + " hands " + oldPrimary.id + " to " + target.id);
    Moment deadline = cluster.now().plus(MAX_WRITE_DRAIN);
    cluster.scheduler.runAfter(
        CHECK_INTERVAL, () -> continueHandOver(oldPrimary, target, deadline));
  }

  private void continueHandOver(Server oldPrimary, Server target, Moment deadline) {
    if (primary != oldPrimary || electing) {
      switching = false;
      return;
    }
    if (oldPrimary.pendingWriteCount() > 0 && cluster.now().isBefore(deadline)) {
      cluster.scheduler.runAfter(
          CHECK_INTERVAL, () -> continueHandOver(oldPrimary, target, deadline));
    } else if (!target.isHealthy()) {
      oldPrimary.refusesWrites = false;
      switching = false;
    } else {
      oldPrimary.claimsPrimary = false;
      oldPrimary.refusesWrites = false;
      electing = true;
      promote(target);
    }
  }
}
