package basaltlever.lab.world;

import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * All replica groups and servers of a run, with the durations of their operations. It is used both
 * with sockets in real time and in virtual time.
 */
public final class SimulatedCluster {
  /** Bounds of the time until a majority agrees that the primary has failed. */
  private static final int[] FAILURE_DETECTION_MILLIS = {400, 900};

  /** Bounds of the time that a replica takes to become primary. */
  private static final int[] PROMOTION_MILLIS = {100, 300};

  private static final int[] HANG_MILLIS = {2_500, 6_000};

  /** Bounds of the time that a resumed server claims to be primary after it was replaced. */
  private static final int[] STALE_CLAIM_MILLIS = {200, 1_000};

  private static final int[] REPLICATION_LAG_MILLIS = {3, 14};

  final Scheduler scheduler;
  public final SplittableRandom random;
  public final HistoryChecker checker;
  private final TimeSeries timeSeries;
  private final List<ReplicaGroup> groups = new ArrayList<>();
  private final List<Server> servers = new ArrayList<>();
  private final List<Runnable> listChangeListeners = new ArrayList<>();

  /** How long a restarted server has reduced capacity. */
  final Span warmUpTime = Span.ofMillis(10_000);

  /** The period over which the load of a cold server is compared with its capacity. */
  final Span overloadWindow = Span.ofMillis(1_000);

  /** Whether servers reject reads for which their data is too old. */
  final boolean replicasCheckPosition;

  private long totalPromotionMillis;
  private int promotionCount;

  /** The interrupted paths from a router to a server, as router * 1,000 + server. */
  private final java.util.Set<Integer> cutPaths = new java.util.HashSet<>();

  private long announcementCount;

  /** The generation of the endpoint list. */
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

  /** Returns the time until statements are measured. */
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

  // ---- Durations

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

  /** Returns a random factor from 0.6 to 1.4 for the service time of a statement. */
  double drawServiceTimeFactor() {
    return 0.6 + 0.8 * random.nextDouble();
  }

  /** Returns the mean duration of all promotions so far; 0 if there were none. */
  public double meanPromotionMillis() {
    return promotionCount == 0 ? 0 : (double) totalPromotionMillis / promotionCount;
  }

  // ---- Changes and faults

  void addMark(String label) {
    timeSeries.addMark(now(), label);
  }

  void onPrimaryChanged(ReplicaGroup group) {
    addMark(group.number + " has primary " + group.primary.id);
    timeSeries.onPrimaryChanged(group.number, now());
  }

  /** Sets the handler that kills a router, given by its number, and starts it again. */
  public void setRestartHandler(java.util.function.IntConsumer handler) {
    restartHandler = handler;
  }

  void restartRouter(int router) {
    restartHandler.accept(router);
  }

  /** Adds an action that runs after each change of the endpoint list. */
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

  /** Moves a replica to the next group; routers are notified only by their endpoint lists. */
  void moveToNextGroup(Server server) {
    ReplicaGroup newGroup = groups.get(server.group.number % groups.size());
    server.group.members.remove(server);
    newGroup.members.add(server);
    server.moveTo(newGroup);
    addMark(server.id + " moves to group " + newGroup.number);
    publishList();
  }

  ReplicaGroup group(int number) {
    return groups.get(number - 1);
  }

  public long listGeneration() {
    return listGeneration;
  }

  /** Returns whether the path from the router to the server is interrupted. */
  public boolean isCut(int router, Server server) {
    return cutPaths.contains(router * 1_000 + server.number);
  }

  void cutConnection(int router, Server server, Span duration) {
    cutPaths.add(router * 1_000 + server.number);
    addMark("router " + router + " disconnected from " + server.id);
    checker.onDisruption(server.group, now());
    scheduler.runAfter(duration, () -> cutPaths.remove(router * 1_000 + server.number));
  }

  /** Sets whether planned switchovers abort pending writes instead of waiting for them. */
  public void setAbruptSwitchovers(boolean enabled) {
    abruptSwitchovers = enabled;
  }

  boolean hasAbruptSwitchovers() {
    return abruptSwitchovers;
  }

  long nextAnnouncementNumber() {
    return ++announcementCount;
  }

  /** Returns the endpoint list as discovery sends it, with the addresses for one router. */
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
