package basaltlever.lab.world;

import basaltlever.switchover.SwitchoverAnnouncement;
import basaltlever.time.Span;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** What goes wrong in a run, by the script: kinds drawn by weight every so often in each group. */
public final class Faults {
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

    public static Kind named(String name) {
      for (Kind kind : values()) {
        if (kind.name().equalsIgnoreCase(name.replace('-', '_'))) {
          return kind;
        }
      }
      return null;
    }
  }

  private static final Span DOWN = Span.ofMillis(2_500);
  private static final Span LASTS = Span.ofMillis(1_500);

  /**
   * A planned change is told this long before it begins, and begins this long after the agreed
   * time.
   */
  private static final Span TOLD_BEFORE = Span.ofMillis(3_500);

  private static final Span SETTLES = Span.ofMillis(60);

  private final World world;
  private final Map<Kind, Double> weights;
  private final Span least;
  private final Span most;
  private final int routers;
  private final SplittableRandom chance;
  private final Map<String, Integer> done = new TreeMap<>();
  private final Map<Integer, Double> floods = new TreeMap<>();

  public Faults(World world, Map<Kind, Double> weights, Span least, Span most, int routers) {
    this.world = world;
    this.weights = weights;
    this.least = least;
    this.most = most;
    this.routers = routers;
    chance = world.chance.split();
  }

  /** How much of its usual load a group gets now. */
  public double load(int group) {
    return floods.getOrDefault(group, 1.0);
  }

  /** How often each kind came to pass. */
  public Map<String, Integer> done() {
    return done;
  }

  /** From now until the span is over; what is under way then goes on. */
  public void runFor(Span span) {
    for (Shard group : weights.isEmpty() ? List.<Shard>of() : world.groups()) {
      // Each with its own source of chance, so that the script is the same whatever a router makes
      // of
      // it.
      again(group, world.now().plus(span), chance.split());
    }
  }

  /** In every group at once, for the days on which all goes wrong together. */
  public void all(Kind kind, double share) {
    for (Shard group : world.groups()) {
      if (chance.nextDouble() < share) {
        act(kind, group);
      }
    }
  }

  private void again(Shard group, basaltlever.time.Moment until, SplittableRandom own) {
    Kind next = draw(own);
    world.time.after(
        least.plus(most.minus(least).times(own.nextDouble())),
        () -> {
          if (world.now().isBefore(until)) {
            act(next, group);
            again(group, until, own);
          }
        });
  }

  private Kind draw(SplittableRandom own) {
    double left =
        weights.values().stream().mapToDouble(Double::doubleValue).sum() * own.nextDouble();
    Kind last = null;
    for (Map.Entry<Kind, Double> entry : weights.entrySet()) {
      last = entry.getKey();
      left -= entry.getValue();
      if (left <= 0) {
        break;
      }
    }
    return last;
  }

  private Server replica(Shard group) {
    List<Server> sound =
        group.members.stream()
            .filter(member -> member != group.leader && member.isSound())
            .toList();
    return sound.isEmpty() ? null : sound.get(chance.nextInt(sound.size()));
  }

  private long announce(Shard group, Server target, Span settles) {
    long number = world.nextNote();
    group.announce(
        new SwitchoverAnnouncement(
            number, target.id, world.now().plus(TOLD_BEFORE).micros() / 1_000, false),
        settles);
    return number;
  }

  public void act(Kind kind, Shard group) {
    Server leader = group.leader;
    Server replica = replica(group);
    if (replica == null || !leader.isSound()) {
      return;
    }
    done.merge(kind.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'), 1, Integer::sum);
    world.mark(group.number + " " + kind.name().toLowerCase(java.util.Locale.ROOT));
    switch (kind) {
      case DIE -> leader.die(DOWN);
      case HANG -> leader.hang(world.hangsFor());
      case COMMIT_HANG -> leader.hangsAtCommit = true;
      case DEMOTE -> group.hand(replica);
      case SWITCH -> announce(group, replica, SETTLES);
      case SWITCH_THEN_DIE -> {
        announce(group, replica, SETTLES);
        world.time.after(TOLD_BEFORE.minus(Span.ofMillis(100)), () -> replica.die(DOWN));
      }
      case SWITCH_CALLED_OFF -> {
        announce(group, replica, LASTS.times(10));
        world.time.after(TOLD_BEFORE.plus(Span.ofMillis(200)), group::callOff);
      }
      case SWITCH_NEVER -> announce(group, replica, LASTS.times(1_000));
      case DOUBLE -> {
        replica.claims = true;
        world.time.after(LASTS, () -> replica.claims = group.leader == replica);
      }
      case REPLICA_DIES -> replica.die(DOWN);
      case DRAIN -> {
        world.list(replica, "terminating");
        world.time.after(DOWN, () -> world.list(replica, "in_service"));
      }
      case LAG -> {
        replica.lag = Span.ofMillis(900);
        world.time.after(LASTS, () -> replica.lag = Span.NONE);
      }
      case SLOW -> {
        leader.slow = 4;
        world.time.after(LASTS, () -> leader.slow = 1);
      }
      case RESET -> leader.breaksAnswers = 3;
      case SPOIL -> leader.spoilsAnswers = 3;
      case CUT ->
          world.cut(chance.nextInt(routers), chance.nextBoolean() ? leader : replica, LASTS);
      case REFUSE -> leader.refuse(LASTS);
      case MOVE -> {
        // Two stay, so that one can take over from the other.
        if (group.members.size() > 2 && world.groups().size() > 1) {
          world.move(replica);
        }
      }
      case RESTART -> world.restart(chance.nextInt(routers));
      case FLOOD -> {
        floods.put(group.number, 4.0);
        world.time.after(LASTS.times(2), () -> floods.remove(group.number));
      }
    }
  }
}
