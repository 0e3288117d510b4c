package basaltlever.lab.world;

import basaltlever.switchover.SwitchoverAnnouncement;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.List;

/**
 * A replica group: its servers, its primary and the shared log. A write is answered once a majority
 * of the servers has its record. A new primary therefore has every commit that was answered, and a
 * replaced primary can add none.
 */
public final class ReplicaGroup {
  /** How long a planned switchover waits for pending writes. */
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

  /** The positions of all commits in ascending order, rounded up to milliseconds as in answers. */
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

  /** Returns the time up to which the log has had a primary that writes it. */
  Moment logEnd(Moment now) {
    return now.earlier(primaryLostAt);
  }

  /** Appends a commit and returns its position in milliseconds. */
  long appendCommit(Moment now) {
    long millis = Math.floorDiv(now.micros() + 999, 1_000L);
    if (commitCount == commitsMillis.length) {
      commitsMillis = java.util.Arrays.copyOf(commitsMillis, 2 * commitCount);
    }
    commitsMillis[commitCount++] = millis;
    return millis;
  }

  /** Returns whether the data at the position lacks a commit that the read has to see. */
  boolean isStale(Statement.Execution execution, Moment position) {
    Statement statement = execution.statement;
    long requiredMillis =
        switch (statement.workload.consistency()) {
          case "session" -> statement.requiredCommitMillis;
          case "bounded" ->
              execution.sentAt.minus(statement.workload.stalenessBound()).micros() / 1_000;
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

  // ---- Failover

  /** Starts a failover if the server is the primary. */
  void onServerLost(Server server) {
    if (server != primary || electing) {
      return;
    }
    electing = true;
    primaryLostAt = cluster.now();
    cluster.addMark(number + " lost primary " + server.id);
    cluster.scheduler.runAfter(cluster.drawDetectionTime(), this::elect);
  }

  private void elect() {
    if (primary.isHealthy() && primary.claimsPrimary) {
      // The primary recovered before its failure was detected.
      electing = false;
      primaryLostAt = Moment.NEVER;
      return;
    }
    Server candidate = null;
    for (Server server : members) {
      if (server != primary
          && server.isHealthy()
          && (candidate == null
              || server
                  .appliedPosition(cluster.now())
                  .isAfter(candidate.appliedPosition(cluster.now())))) {
        candidate = server;
      }
    }
    if (candidate == null) {
      cluster.scheduler.runAfter(CHECK_INTERVAL.times(20), this::elect);
      return;
    }
    promote(candidate);
  }

  /**
   * Makes the server primary. The log accepts no writes of the old primary from now on; the new one
   * accepts writes when its promotion is complete.
   */
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
          for (Server server : members) {
            // A hung server does not notice the change and still claims its former role.
            server.claimsPrimary = server == next || (server.claimsPrimary && server.isHung());
          }
          next.refusesWrites = false;
          cluster.onPrimaryChanged(this);
        });
  }

  // ---- Planned switchover

  public SwitchoverAnnouncement announcement() {
    return announcement;
  }

  /**
   * Announces a planned switchover, which starts at the announced time plus the delay. Returns
   * false if the target is no other server of this group or the number is not above the last one.
   */
  public boolean announce(SwitchoverAnnouncement next, Span delay) {
    Server target =
        members.stream().filter(server -> server.id.equals(next.target())).findAny().orElse(null);
    if (target == null
        || target == primary
        || (announcement != null && next.number() <= announcement.number())) {
      return false;
    }
    announcement = next;
    cluster.addMark(number + " switchover to " + next.target() + " announced");
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

  /** Cancels the announced switchover, if there is one. */
  public void cancelSwitchover() {
    if (announcement != null) {
      announcement =
          new SwitchoverAnnouncement(
              announcement.number(), announcement.target(), announcement.atMillis(), true);
    }
  }

  /**
   * Transfers the primary role without an announcement: the primary rejects new writes, finishes or
   * aborts the pending ones, and then the target is promoted.
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
    cluster.addMark(number + " hands over from " + oldPrimary.id + " to " + target.id);
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
