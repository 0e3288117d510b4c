package basaltlever.lab.world;

import basaltlever.switchover.SwitchoverAnnouncement;
import basaltlever.time.Span;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** What goes wrong in a run, by the script: kinds drawn by weight every so often in each group. */
public final class FaultInjector {
  /** Each kind by the name that scenarios use. */
  public enum Kind {
    DIE,
    HANG,
    COMMIT_HANG,
    DEMOTE,
    SWITCH,
    SWITCH_THEN_DIE,
    SWITCH_CALLED_OFF,
    SWITCH_NEVER,
    DOUBLE,
    REPLICA_DIES,
    DRAIN,
    LAG,
    SLOW,
    RESET,
    SPOIL,
    CUT,
    REFUSE,
    FLOOD,
    RESTART,
    MOVE;

    public static Kind findByName(String name) {
      for (Kind kind : values()) {
        if (kind.name().equalsIgnoreCase(name.replace('-', '_'))) {
          return kind;
        }
      }
      return null;
    }
  }

  private static final Span DOWN_TIME = Span.ofMillis(2_500);
  private static final Span FAULT_DURATION = Span.ofMillis(1_500);

  /**
   * A planned change is told this long before it begins, and begins this long after the agreed
   * time.
   */
  private static final Span ANNOUNCEMENT_LEAD = Span.ofMillis(3_500);

  private static final Span SWITCHOVER_DELAY = Span.ofMillis(60);

  private final SimulatedCluster cluster;
  private final Map<Kind, Double> weights;
  private final Span minInterval;
  private final Span maxInterval;
  private final int routerCount;
  private final SplittableRandom random;
  private final Map<String, Integer> injectionCounts = new TreeMap<>();
  private final Map<Integer, Double> loadFactors = new TreeMap<>();

  public FaultInjector(
      SimulatedCluster cluster,
      Map<Kind, Double> weights,
      Span minInterval,
      Span maxInterval,
      int routerCount) {
    this.cluster = cluster;
    this.weights = weights;
    this.minInterval = minInterval;
    this.maxInterval = maxInterval;
    this.routerCount = routerCount;
    random = cluster.random.split();
  }

  /** How much of its usual load a group gets now. */
  public double loadFactor(int group) {
    return loadFactors.getOrDefault(group, 1.0);
  }

  /** How often each kind came to pass. */
  public Map<String, Integer> injectionCounts() {
    return injectionCounts;
  }

  /** From now until the span is over; what is under way then goes on. */
  public void runFor(Span duration) {
    for (ReplicaGroup group : weights.isEmpty() ? List.<ReplicaGroup>of() : cluster.groups()) {
      // Each with its own source of chance, so that the script is the same whatever a router makes
      // of
      // it.
      scheduleNext(group, cluster.now().plus(duration), random.split());
    }
  }

  /** In every group at once, for the days on which all goes wrong together. */
  public void injectIntoGroups(Kind kind, double share) {
    for (ReplicaGroup group : cluster.groups()) {
      if (random.nextDouble() < share) {
        inject(kind, group);
      }
    }
  }

  private void scheduleNext(
      ReplicaGroup group, basaltlever.time.Moment end, SplittableRandom groupRandom) {
    Kind next = drawKind(groupRandom);
    cluster.scheduler.runAfter(
        minInterval.plus(maxInterval.minus(minInterval).times(groupRandom.nextDouble())),
        () -> {
          if (cluster.now().isBefore(end)) {
            inject(next, group);
            scheduleNext(group, end, groupRandom);
          }
        });
  }

  private Kind drawKind(SplittableRandom groupRandom) {
    double remainingWeight =
        weights.values().stream().mapToDouble(Double::doubleValue).sum() * groupRandom.nextDouble();
    Kind drawn = null;
    for (Map.Entry<Kind, Double> entry : weights.entrySet()) {
      drawn = entry.getKey();
      remainingWeight -= entry.getValue();
      if (remainingWeight <= 0) {
        break;
      }
    }
    return drawn;
  }

  private Server chooseReplica(ReplicaGroup group) {
    List<Server> healthyReplicas =
        group.members.stream()
            .filter(member -> member != group.primary && member.isHealthy())
            .toList();
    return healthyReplicas.isEmpty()
        ? null
        : healthyReplicas.get(random.nextInt(healthyReplicas.size()));
  }

  private long announceSwitchover(ReplicaGroup group, Server target, Span delay) {
    long number = cluster.nextAnnouncementNumber();
    group.announce(
        new SwitchoverAnnouncement(
            number, target.id, cluster.now().plus(ANNOUNCEMENT_LEAD).micros() / 1_000, false),
        delay);
    return number;
  }

  public void inject(Kind kind, ReplicaGroup group) {
    Server leader = group.primary;
    Server replica = chooseReplica(group);
    if (replica == null || !leader.isHealthy()) {
      return;
    }
    injectionCounts.merge(
        kind.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'), 1, Integer::sum);
    cluster.addMark(group.number + " " + kind.name().toLowerCase(java.util.Locale.ROOT));
    switch (kind) {
      case DIE -> leader.crash(DOWN_TIME);
      case HANG -> leader.hang(cluster.drawHangDuration());
      case COMMIT_HANG -> leader.hangsAtNextCommit = true;
      case DEMOTE -> group.handOver(replica);
      case SWITCH -> announceSwitchover(group, replica, SWITCHOVER_DELAY);
      case SWITCH_THEN_DIE -> {
        announceSwitchover(group, replica, SWITCHOVER_DELAY);
        cluster.scheduler.runAfter(
            ANNOUNCEMENT_LEAD.minus(Span.ofMillis(100)), () -> replica.crash(DOWN_TIME));
      }
      case SWITCH_CALLED_OFF -> {
        announceSwitchover(group, replica, FAULT_DURATION.times(10));
        cluster.scheduler.runAfter(
            ANNOUNCEMENT_LEAD.plus(Span.ofMillis(200)), group::cancelSwitchover);
      }
      case SWITCH_NEVER -> announceSwitchover(group, replica, FAULT_DURATION.times(1_000));
      case DOUBLE -> {
        replica.claimsPrimary = true;
        cluster.scheduler.runAfter(
            FAULT_DURATION, () -> replica.claimsPrimary = group.primary == replica);
      }
      case REPLICA_DIES -> replica.crash(DOWN_TIME);
      case DRAIN -> {
        cluster.setListedState(replica, "terminating");
        cluster.scheduler.runAfter(DOWN_TIME, () -> cluster.setListedState(replica, "in_service"));
      }
      case LAG -> {
        replica.extraLag = Span.ofMillis(900);
        cluster.scheduler.runAfter(FAULT_DURATION, () -> replica.extraLag = Span.NONE);
      }
      case SLOW -> {
        leader.slowdown = 4;
        cluster.scheduler.runAfter(FAULT_DURATION, () -> leader.slowdown = 1);
      }
      case RESET -> leader.answersToBreak = 3;
      case SPOIL -> leader.answersToCorrupt = 3;
      case CUT ->
          cluster.cutConnection(
              random.nextInt(routerCount), random.nextBoolean() ? leader : replica, FAULT_DURATION);
      case REFUSE -> leader.refuseConnections(FAULT_DURATION);
      case MOVE -> {
        // Two stay, so that one can take over from the other.
        if (group.members.size() > 2 && cluster.groups().size() > 1) {
          cluster.moveToNextGroup(replica);
        }
      }
      case RESTART -> cluster.restartRouter(random.nextInt(routerCount));
      case FLOOD -> {
        loadFactors.put(group.number, 4.0);
        cluster.scheduler.runAfter(FAULT_DURATION.times(2), () -> loadFactors.remove(group.number));
      }
    }
  }
}
