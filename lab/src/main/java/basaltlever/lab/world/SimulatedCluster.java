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
public final class SimulatedCluster {
  /** Of most members' agreement that a primary is gone, and of a replica's taking over. */
  private static final int[] FAILURE_DETECTION_MILLIS = {400, 900};

  private static final int[] PROMOTION_MILLIS = {100, 300};
  private static final int[] HANG_MILLIS = {2_500, 6_000};
  private static final int[] STALE_CLAIM_MILLIS = {200, 1_000};
  private static final int[] REPLICATION_LAG_MILLIS = {3, 14};

  final Scheduler scheduler;
  public final SplittableRandom random;
  public final HistoryChecker checker;
  private final TimeSeries timeSeries;
  private final List<ReplicaGroup> groups = new ArrayList<>();
  private final List<Server> servers = new ArrayList<>();
  private final List<Runnable> listChangeListeners = new ArrayList<>();
  final Span warmUpTime = Span.ofMillis(10_000);
  final Span overloadWindow = Span.ofMillis(1_000);
  final boolean replicasCheckPosition;
  private long totalPromotionMillis;
  private int promotionCount;

  /** One way of one router to one server that is cut, as router * 1,000 + server. */
  private final java.util.Set<Integer> cutPaths = new java.util.HashSet<>();

  private long announcementCount;

  /** Of the list that discovery tells. */
  private long listGeneration = 1;

  private boolean abruptSwitchovers;
  private java.util.function.IntConsumer restartHandler = router -> {};

  public SimulatedCluster(
      Scheduler scheduler,
      SplittableRandom random,
      Span drainGrace,
      Span warmUpTime,
      boolean replicasCheckPosition,
      int groupCount,
      int membersPerGroup,
      int cores,
      int routerCount) {
    this.replicasCheckPosition = replicasCheckPosition;
    this.scheduler = scheduler;
    this.random = random;
    timeSeries = new TimeSeries(scheduler.now().plus(warmUpTime));
    checker = new HistoryChecker(drainGrace, scheduler.now().plus(warmUpTime), timeSeries);
    for (int g = 0; g < groupCount; g++) {
      ReplicaGroup group = new ReplicaGroup(this, g + 1);
      groups.add(group);
      for (int m = 0; m < membersPerGroup; m++) {
        Server server = new Server(this, group, servers.size() + 1, cores, routerCount);
        servers.add(server);
        group.members.add(server);
      }
      group.primary = group.members.get(random.nextInt(membersPerGroup));
      group.primary.claimsPrimary = true;
    }
  }

  public Moment now() {
    return scheduler.now();
  }

  /** Until statements count. */
  public Span timeToStart() {
    return timeSeries.start().since(now());
  }

  public Scheduler scheduler() {
    return scheduler;
  }

  public TimeSeries timeSeries() {
    return timeSeries;
  }

  public List<ReplicaGroup> groups() {
    return groups;
  }

  public List<Server> servers() {
    return servers;
  }

  // ---- How long things take.

  private Span drawDuration(int[] boundsMillis) {
    return Span.ofMillis(
        boundsMillis[0] + random.nextDouble() * (boundsMillis[1] - boundsMillis[0]));
  }

  Span drawDetectionTime() {
    return drawDuration(FAILURE_DETECTION_MILLIS);
  }

  Span drawPromotionTime() {
    Span span = drawDuration(PROMOTION_MILLIS);
    totalPromotionMillis += span.micros() / 1_000;
    promotionCount++;
    return span;
  }

  Span drawHangDuration() {
    return drawDuration(HANG_MILLIS);
  }

  Span drawStaleClaimDuration() {
    return drawDuration(STALE_CLAIM_MILLIS);
  }

  Span replicationLag(Server server) {
    return Span.ofMillis(
        REPLICATION_LAG_MILLIS[0]
            + server.number % (REPLICATION_LAG_MILLIS[1] - REPLICATION_LAG_MILLIS[0]));
  }

  /** Of work, around 1. */
  double drawServiceTimeFactor() {
    return 0.6 + 0.8 * random.nextDouble();
  }

  public double meanPromotionMillis() {
    return promotionCount == 0 ? 0 : (double) totalPromotionMillis / promotionCount;
  }

  // ---- What happens.

  void addMark(String label) {
    timeSeries.addMark(now(), label);
  }

  void onPrimaryChanged(ReplicaGroup group) {
    addMark(group.number + " now " + group.primary.id);
    timeSeries.onPrimaryChanged(group.number, now());
  }

  /** Whoever runs routers ends one by force and starts it again. */
  public void setRestartHandler(java.util.function.IntConsumer handler) {
    restartHandler = handler;
  }

  void restartRouter(int router) {
    restartHandler.accept(router);
  }

  /** The list of members has changed; whoever carries it tells its routers. */
  public void addListChangeListener(Runnable listener) {
    listChangeListeners.add(listener);
  }

  void setListedState(Server server, String state) {
    server.listedState = state;
    addMark(server.id + " " + state);
    publishList();
  }

  private void publishList() {
    listGeneration++;
    listChangeListeners.forEach(Runnable::run);
  }

  /** A replica belongs to the next group from here on; routers learn it from their lists. */
  void moveToNextGroup(Server server) {
    ReplicaGroup newGroup = groups.get(server.group.number % groups.size());
    server.group.members.remove(server);
    newGroup.members.add(server);
    server.moveTo(newGroup);
    addMark(server.id + " moves to " + newGroup.number);
    publishList();
  }

  ReplicaGroup group(int number) {
    return groups.get(number - 1);
  }

  public long listGeneration() {
    return listGeneration;
  }

  public boolean isCut(int router, Server server) {
    return cutPaths.contains(router * 1_000 + server.number);
  }

  void cutConnection(int router, Server server, Span duration) {
    cutPaths.add(router * 1_000 + server.number);
    addMark("router " + router + " cut from " + server.id);
    checker.onDisruption(server.group, now());
    scheduler.runAfter(duration, () -> cutPaths.remove(router * 1_000 + server.number));
  }

  /** Whether a primary that hands over cuts the writes it has, or ends them first. */
  public void setAbruptSwitchovers(boolean enabled) {
    abruptSwitchovers = enabled;
  }

  boolean hasAbruptSwitchovers() {
    return abruptSwitchovers;
  }

  long nextAnnouncementNumber() {
    return ++announcementCount;
  }

  /** The list as discovery gives it, with the addresses that one router uses. */
  public String formatEndpointList(java.util.function.Function<Server, String> address) {
    StringBuilder text =
        new StringBuilder("{\"generation\":" + listGeneration + ",\"reset\":true,\"instances\":[");
    for (Server server : servers) {
      text.append(server.number > 1 ? "," : "")
          .append("{\"instanceId\":\"")
          .append(server.id)
          .append("\",\"hostPort\":\"")
          .append(address.apply(server))
          .append("\",\"zone\":\"a\",\"cell\":")
          .append(server.group.number)
          .append(",\"lifecycle\":\"")
          .append(server.listedState)
          .append("\",\"weight\":1,\"startedAtMs\":")
          .append(server.startedAtMillis())
          .append('}');
    }
    return text.append("]}").toString();
  }
}
