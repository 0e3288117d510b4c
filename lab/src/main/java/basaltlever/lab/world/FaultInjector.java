package basaltlever.lab.world;

import basaltlever.switchover.SwitchoverAnnouncement;
import basaltlever.time.Span;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Injects faults into a run. In each group, kinds are drawn by weight at random intervals; the
 * sequence follows from the seed.
 */
public final class FaultInjector {
  /** The kinds of faults. Scenarios use the same names in lower case with hyphens. */
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

    /** Returns the kind of the given name, or null if there is none. */
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

  /** How long before its start a planned switchover is announced. */
  private static final Span ANNOUNCEMENT_LEAD = Span.ofMillis(3_500);

  /** How long after the announced time a planned switchover starts. */
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

  /** Returns the present load of a group as a multiple of its usual load. */
  public double loadFactor(int group) {
    return loadFactors.getOrDefault(group, 1.0);
  }

  /** Returns how often each kind was injected. */
  public Map<String, Integer> injectionCounts() {
    return injectionCounts;
  }

  /** Injects faults for the given time; faults in progress then continue to their end. */
  public void runFor(Span duration) {
    for (ReplicaGroup group : weights.isEmpty() ? List.<ReplicaGroup>of() : cluster.groups()) {
      // Each group has its own random source, so that the sequence does not depend on the routers.
      scheduleNext(group, cluster.now().plus(duration), random.split());
    }
  }

  /** Injects one kind into each group with the given probability, all at the same time. */
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
            .filter(server -> server != group.primary && server.isHealthy())
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

  /** Injects a fault into a group; skipped if its primary or all replicas are unhealthy. */
  public void inject(Kind kind, ReplicaGroup group) {
    Server primary = group.primary;
    Server replica = chooseReplica(group);
    if (replica == null || !primary.isHealthy()) {
      return;
    }
    injectionCounts.merge(
        kind.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'), 1, Integer::sum);
    cluster.addMark(group.number + " " + kind.name().toLowerCase(java.util.Locale.ROOT));
    switch (kind) {
      case DIE -> primary.crash(DOWN_TIME);
      case HANG -> primary.hang(cluster.drawHangDuration());
      case COMMIT_HANG -> primary.hangsAtNextCommit = true;
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
        primary.slowdown = 4;
        cluster.scheduler.runAfter(FAULT_DURATION, () -> primary.slowdown = 1);
      }
      case RESET -> primary.answersToBreak = 3;
      case SPOIL -> primary.answersToCorrupt = 3;
      case CUT ->
          cluster.cutConnection(
              random.nextInt(routerCount),
              random.nextBoolean() ? primary : replica,
              FAULT_DURATION);
      case REFUSE -> primary.refuseConnections(FAULT_DURATION);
      case MOVE -> {
        // Two servers remain, so that a replica can replace the primary.
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
