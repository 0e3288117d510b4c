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
public final class Shard {
  private static final Span FINISHES = Span.ofMillis(300);
  private static final Span LOOKS = Span.ofMillis(5);
  public final int number;
  private final World world;
  final List<Server> members = new ArrayList<>();
  Server leader;
  private Moment leaderLost = Moment.NEVER;
  private boolean electing;
  private boolean switching;
  private SwitchoverAnnouncement announcement;

  /** Of all commits, rounded up to milliseconds as answers tell them; rising. */
  private long[] commits = new long[1_024];

  private int commitCount;

  Shard(World world, int number) {
    this.world = world;
    this.number = number;
  }

  public List<Server> members() {
    return members;
  }

  public Server leader() {
    return leader;
  }

  /** Up to when the log has had somebody to write it. */
  Moment aliveUntil(Moment now) {
    return now.earlier(leaderLost);
  }

  long commits(Moment now) {
    long millis = Math.floorDiv(now.micros() + 999, 1_000L);
    if (commitCount == commits.length) {
      commits = java.util.Arrays.copyOf(commits, 2 * commitCount);
    }
    commits[commitCount++] = millis;
    return millis;
  }

  /** Whether a commit that the read had to see was missing in the data. */
  boolean isStale(Ask.Execution execution, Moment has) {
    Ask ask = execution.of;
    long must =
        switch (ask.kind.needs()) {
          case "session" -> ask.after;
          case "bounded" -> execution.reachedAt.minus(ask.kind.bound()).micros() / 1_000;
          case "fresh" -> ask.due.micros() / 1_000;
          default -> 0;
        };
    long had = Math.floorDiv(has.micros(), 1_000L);
    for (int i = commitCount - 1; i >= 0 && commits[i] > had; i--) {
      if (commits[i] <= must) {
        return true;
      }
    }
    return false;
  }

  // ---- Unplanned changes.

  void lost(Server member) {
    if (member != leader || electing) {
      return;
    }
    electing = true;
    leaderLost = world.now();
    world.mark(number + " lost " + member.id);
    world.time.after(world.detects(), this::elect);
  }

  private void elect() {
    if (leader.isSound() && leader.claims) {
      // Back before anybody noticed.
      electing = false;
      leaderLost = Moment.NEVER;
      return;
    }
    Server best = null;
    for (Server member : members) {
      if (member != leader
          && member.isSound()
          && (best == null || member.applied(world.now()).isAfter(best.applied(world.now())))) {
        best = member;
      }
    }
    if (best == null) {
      world.time.after(LOOKS.times(20), this::elect);
      return;
    }
    promote(best);
  }

  /** From here on the old one's writes reach no log; the new one writes once it has taken over. */
  private void promote(Server next) {
    leader = next;
    leaderLost = leaderLost.earlier(world.now());
    next.refusesWrites = true;
    world.time.after(
        world.promotes(),
        () -> {
          if (leader != next || !next.isUp() || next.isHung()) {
            elect();
            return;
          }
          electing = false;
          switching = false;
          leaderLost = Moment.NEVER;
          for (Server member : members) {
            // One that hangs or is cut off goes on believing what it believed.
            member.claims = member == next || (member.claims && member.isHung());
          }
          next.refusesWrites = false;
          world.changed(this);
        });
  }

  // ---- Planned ones.

  public SwitchoverAnnouncement note() {
    return announcement;
  }

  /** True where it stands: the target is another sound member, and no change is under way. */
  public boolean announce(SwitchoverAnnouncement next, Span settles) {
    Server target =
        members.stream().filter(member -> member.id.equals(next.target())).findAny().orElse(null);
    if (target == null
        || target == leader
        || (announcement != null && next.number() <= announcement.number())) {
      return false;
    }
    announcement = next;
    world.mark(number + " to " + next.target() + " announced");
    Moment at = new Moment(next.atMillis() * 1_000).plus(settles);
    world.time.at(
        at.later(world.now()),
        () -> {
          if (next.equals(announcement) && target.isSound() && !electing && !switching) {
            hand(target);
          }
        });
    return true;
  }

  public void callOff() {
    if (announcement != null) {
      announcement =
          new SwitchoverAnnouncement(
              announcement.number(), announcement.target(), announcement.atMillis(), true);
    }
  }

  /**
   * The primary takes no more writes, ends those it has, and hands over; without a word to anybody.
   */
  void hand(Server target) {
    Server from = leader;
    if (switching || electing || from == target || !from.isSound()) {
      return;
    }
    switching = true;
    from.refusesWrites = true;
    if (world.isAbrupt()) {
      from.cutWrites();
    }
    world.mark(number + " hands " + from.id + " to " + target.id);
    Moment end = world.now().plus(FINISHES);
    world.time.after(LOOKS, () -> handOnce(from, target, end));
  }

  private void handOnce(Server from, Server target, Moment end) {
    if (leader != from || electing) {
      switching = false;
      return;
    }
    if (from.writesRunning() > 0 && world.now().isBefore(end)) {
      world.time.after(LOOKS, () -> handOnce(from, target, end));
    } else if (!target.isSound()) {
      from.refusesWrites = false;
      switching = false;
    } else {
      from.claims = false;
      from.refusesWrites = false;
      electing = true;
      promote(target);
    }
  }
}
