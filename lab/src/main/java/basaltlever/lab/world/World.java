package basaltlever.lab.world;

import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * All groups and servers of a run, and how long things take in it; the same on sockets and in
 * virtual time.
 */
public final class World {
  /** Of most members' agreement that a primary is gone, and of a replica's taking over. */
  private static final int[] DETECTS_MILLIS = {400, 900};

  private static final int[] PROMOTES_MILLIS = {100, 300};
  private static final int[] HANGS_MILLIS = {2_500, 6_000};
  private static final int[] ZOMBIE_MILLIS = {200, 1_000};
  private static final int[] LAG_MILLIS = {3, 14};

  final Timeline time;
  public final SplittableRandom chance;
  public final Ledger ledger;
  private final Series series;
  private final List<Shard> groups = new ArrayList<>();
  private final List<Server> servers = new ArrayList<>();
  private final List<Runnable> listChanges = new ArrayList<>();
  final Span warmAfter = Span.ofMillis(10_000);
  final Span fallWindow = Span.ofMillis(1_000);
  final boolean replicasCheck;
  private long promotedMillis;
  private int promoted;

  /** One way of one router to one server that is cut, as router * 1,000 + server. */
  private final java.util.Set<Integer> cut = new java.util.HashSet<>();

  private long notes;

  /** Of the list that discovery tells. */
  private long generation = 1;

  private boolean abrupt;
  private java.util.function.IntConsumer restarts = router -> {};

  public World(
      Timeline time,
      SplittableRandom chance,
      Span drainGrace,
      Span warmUp,
      boolean replicasCheck,
      int groupCount,
      int memberCount,
      int cores,
      int routers) {
    this.replicasCheck = replicasCheck;
    this.time = time;
    this.chance = chance;
    series = new Series(time.now().plus(warmUp));
    ledger = new Ledger(drainGrace, time.now().plus(warmUp), series);
    for (int g = 0; g < groupCount; g++) {
      Shard group = new Shard(this, g + 1);
      groups.add(group);
      for (int m = 0; m < memberCount; m++) {
        Server server = new Server(this, group, servers.size() + 1, cores, routers);
        servers.add(server);
        group.members.add(server);
      }
      group.leader = group.members.get(chance.nextInt(memberCount));
      group.leader.claims = true;
    }
  }

  public Moment now() {
    return time.now();
  }

  /** Until statements count. */
  public Span startsIn() {
    return series.start().since(now());
  }

  public Timeline time() {
    return time;
  }

  public Series series() {
    return series;
  }

  public List<Shard> groups() {
    return groups;
  }

  public List<Server> servers() {
    return servers;
  }

  // ---- How long things take.

  private Span among(int[] millis) {
    return Span.ofMillis(millis[0] + chance.nextDouble() * (millis[1] - millis[0]));
  }

  Span detects() {
    return among(DETECTS_MILLIS);
  }

  Span promotes() {
    Span span = among(PROMOTES_MILLIS);
    promotedMillis += span.micros() / 1_000;
    promoted++;
    return span;
  }

  Span hangsFor() {
    return among(HANGS_MILLIS);
  }

  Span zombieFor() {
    return among(ZOMBIE_MILLIS);
  }

  Span lag(Server server) {
    return Span.ofMillis(LAG_MILLIS[0] + server.number % (LAG_MILLIS[1] - LAG_MILLIS[0]));
  }

  /** Of work, around 1. */
  double spread() {
    return 0.6 + 0.8 * chance.nextDouble();
  }

  public double promotionMillis() {
    return promoted == 0 ? 0 : (double) promotedMillis / promoted;
  }

  // ---- What happens.

  void mark(String what) {
    series.mark(now(), what);
  }

  void changed(Shard group) {
    mark(group.number + " now " + group.leader.id);
    series.changes(group.number, now());
  }

  /** Whoever runs routers ends one by force and starts it again. */
  public void onRestart(java.util.function.IntConsumer by) {
    restarts = by;
  }

  void restart(int router) {
    restarts.accept(router);
  }

  /** The list of members has changed; whoever carries it tells its routers. */
  public void onListChange(Runnable tell) {
    listChanges.add(tell);
  }

  void list(Server server, String state) {
    server.listed = state;
    mark(server.id + " " + state);
    tellsList();
  }

  private void tellsList() {
    generation++;
    listChanges.forEach(Runnable::run);
  }

  /** A replica belongs to the next group from here on; routers learn it from their lists. */
  void move(Server server) {
    Shard to = groups.get(server.group.number % groups.size());
    server.group.members.remove(server);
    to.members.add(server);
    server.moves(to);
    mark(server.id + " moves to " + to.number);
    tellsList();
  }

  Shard shard(int number) {
    return groups.get(number - 1);
  }

  public long generation() {
    return generation;
  }

  public boolean isCut(int router, Server server) {
    return cut.contains(router * 1_000 + server.number);
  }

  void cut(int router, Server server, Span lasts) {
    cut.add(router * 1_000 + server.number);
    mark("router " + router + " cut from " + server.id);
    ledger.troubled(server.group, now());
    time.after(lasts, () -> cut.remove(router * 1_000 + server.number));
  }

  /** Whether a primary that hands over cuts the writes it has, or ends them first. */
  public void abrupt(boolean cuts) {
    abrupt = cuts;
  }

  boolean isAbrupt() {
    return abrupt;
  }

  long nextNote() {
    return ++notes;
  }

  /** The list as discovery gives it, with the addresses that one router uses. */
  public String listText(java.util.function.Function<Server, String> address) {
    StringBuilder text =
        new StringBuilder("{\"generation\":" + generation + ",\"reset\":true,\"instances\":[");
    for (Server server : servers) {
      text.append(server.number > 1 ? "," : "")
          .append("{\"instanceId\":\"")
          .append(server.id)
          .append("\",\"hostPort\":\"")
          .append(address.apply(server))
          .append("\",\"zone\":\"a\",\"cell\":")
          .append(server.group.number)
          .append(",\"lifecycle\":\"")
          .append(server.listed)
          .append("\",\"weight\":1,\"startedAtMs\":")
          .append(server.startedMillis())
          .append('}');
    }
    return text.append("]}").toString();
  }
}
