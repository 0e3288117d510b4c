package basaltlever.net;

import basaltlever.config.Addresses;
import basaltlever.config.FleetSettings;
import basaltlever.config.InvalidSettingsException;
import basaltlever.config.OperatorFile;
import basaltlever.config.StartFile;
import basaltlever.config.StartValues;
import basaltlever.config.WorkloadSlots;
import basaltlever.core.StatementRouter;
import basaltlever.discovery.EndpointList;
import basaltlever.discovery.EndpointUpdate;
import basaltlever.discovery.InvalidEndpointListException;
import basaltlever.fleet.FleetMember;
import basaltlever.fleet.VoterStore;
import basaltlever.hold.HoldBudget;
import basaltlever.log.Counter;
import basaltlever.log.Event;
import basaltlever.log.RateLimitedLog;
import basaltlever.log.StatementTrace;
import basaltlever.membership.MembershipView;
import basaltlever.pg.MemoryBudget;
import basaltlever.settings.LeaseHolder;
import basaltlever.snapshot.KnownEndpoint;
import basaltlever.snapshot.LearnedState;
import basaltlever.snapshot.StateRestore;
import basaltlever.storage.SnapshotWriter;
import basaltlever.storage.SystemClocks;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Promise;
import io.netty.util.internal.PlatformDependent;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/** One router from its start file to its exit; its phase says how far it is. */
public final class Router {
  private static final Logger LOG = LoggerFactory.getLogger(Router.class);

  /** After the signal to end, new connections keep coming for up to 0.4 s. */
  private static final Span STILL_LISTENS = Span.ofMillis(500);

  /**
   * Not before this long after the signal and the longest statement timeout is a process killed.
   */
  private static final Span SPARED = Span.ofMillis(700);

  /** A longest statement timeout of more counts as this much there. */
  private static final Span LONGEST_SPARED = Span.ofMillis(3_000);

  /**
   * By so much sooner all is answered, and by the other it ends though clients keep their side
   * open.
   */
  private static final Span ANSWERS_BEFORE = Span.ofMillis(120);

  private static final Span ENDS_BEFORE = Span.ofMillis(40);
  private static final Span SWEEPS = Span.ofMillis(200);
  private static final Span READS = Span.ofMillis(1_000);
  private static final int READ_IN = 3;
  private static final Span REPORTS = Span.ofMillis(5_000);
  private static final Span LONGEST_LOOK = Span.ofMillis(1_000);

  /** For the first list to come; a process is held to what discovery knows before it has asked. */
  private static final Span LONGEST_CALL = Span.ofMillis(2_000);

  private static final int NODES_A_TURN = 32;
  private static final Span LONGEST_EXPORT = Span.ofMillis(1_000);
  private static final Span LOOK_AGAIN = Span.ofMillis(10);

  /**
   * Sockets of the loop, the listener and discovery, and files that the runtime opens late. Clients
   * are accepted only where there is room for them.
   */
  private static final int RESERVED = 24;

  private static final int PAGE = 8_192;
  private static final int CHUNK_ORDER = 6;

  /**
   * Connections that may wait to be accepted; the system may allow fewer. Where it overflows Linux
   * answers by SYN cookies, and resets connections that their clients take to be established.
   */
  private static final int LISTEN_QUEUE = 4_096;

  private static final Span JOINS = Span.ofMillis(4_000);

  private final SystemListenQueue listenQueue = new SystemListenQueue(LISTEN_QUEUE);
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final Map<String, ConnectionPool> links = new LinkedHashMap<>();
  private RouterPhase phase = RouterPhase.READING;
  private Path file;
  private StartFile start;

  /** The file whose settings hold. */
  private StartFile inForce;

  private volatile OperatorFile operator;

  /** Set by the thread that starts and reloads, ended by the loop. */
  private volatile SnapshotWriter snapshotWriter;

  private LoopIteration iteration;
  private StatementRouter<String> core;
  private EndpointList list;
  private DiscoveryWatch watch;
  private Descriptors descriptors;
  private Bootstrap outwards;
  private int reserved;
  private int reads;
  private MultiThreadIoEventLoopGroup group;

  /** Read by the thread that hears the signal to end. */
  private volatile SingleThreadEventLoop loop;

  private volatile Channel listener;
  private AcceptHandler accepting;
  private Clock clock;
  private ReadinessClock readinessClock;
  private ClientSessions clients;
  private WorkloadSlots slots;
  private RateLimitedLog badClients;
  private AttemptExecutor executor;
  private HoldBudget holds;
  private Span longestTimeout;

  /** Statements that take longer are followed in the log; null for none. */
  private Span follows;

  private StatementTrace trace;
  private Moment swept;
  private volatile FleetMember fleet;
  private LeaseGuard leaseGuard;
  private MembershipView membership;
  private PooledByteBufAllocator buffers;

  /** To be said before it starts: the life of each statement that takes longer goes to the log. */
  public void follow(Span over) {
    follows = over;
  }

  /**
   * Reads, listens, and returns once it serves. The operator's file is null where there is none.
   */
  public void start(Path from, OperatorFile with)
      throws InvalidSettingsException, InterruptedException {
    file = from;
    start = StartFile.read(from);
    inForce = start;
    operator = with;
    snapshotWriter = keeper();
    Span longest = start.startValues().longestTimeout();
    if (with != null
        && with.fleet() != null
        && with.fleet()
            .assignmentLifetime()
            .isShorterThan(longest.plus(with.fleet().fencingTime()))) {
      throw new InvalidSettingsException(
          List.of(
              "fleet.assigned_ms is "
                  + with.fleet().assignmentLifetime().micros() / 1_000
                  + ", less than fleet.stated_ms and the longest HardLimit together: what is out at a member then"
                  + " would not be over"));
    }
    enter(RouterPhase.DISCOVERING);
    clock = new Clock();
    readinessClock = new ReadinessClock(clock::now);
    group = new MultiThreadIoEventLoopGroup(1, PreciseSelectStrategy.newFactory(readinessClock));
    loop = (SingleThreadEventLoop) group.next();
    loop.submit(this::build).sync();
    // Read meanwhile, on the keeper's thread: what it loads first would else be added to the start.
    StateRestore restore =
        snapshotWriter == null ? StateRestore.NOTHING : snapshotWriter.awaitRestore();
    loop.submit(() -> begin(restore)).sync();
    joinFleet();
    Promise<Void> looked = loop.newPromise();
    loop.execute(() -> lookAround(looked, System.nanoTime()));
    // The loop waits for the first look: what is loaded meanwhile delays the start least.
    ListenerSocket.load();
    looked.sync();
    ChannelFuture bound = loop.submit(this::listen).sync().getNow();
    if (!bound.await().isSuccess()) {
      endUnserved();
      if (snapshotWriter != null) {
        snapshotWriter.close(null);
      }
      throw new InvalidSettingsException(
          List.of("listen: " + start.listen() + " can't be bound: " + bound.cause().getMessage()));
    }
    listener = bound.channel();
    beginDeferral();
    loop.submit(
            () -> {
              executor.serves();
              enter(RouterPhase.SERVING);
            })
        .sync();
    Event.SERVES.log(LOG, Level.INFO, "", start.name(), address());
    if (snapshotWriter != null) {
      snapshotWriter.startWriting();
    }
  }

  private void beginDeferral() throws InterruptedException {
    try {
      ListenerSocket socket = ListenerSocket.find(address());
      loop.submit(() -> accepting.beginDeferral(socket)).sync();
    } catch (IOException fault) {
      Event.ACCEPT_DEFERRED.log(LOG, Level.WARN, "", "UNAVAILABLE", fault);
    }
  }

  /**
   * Reads both files again, off the loop, so that a slow disk holds nobody; where one is faulty
   * both are left.
   */
  public void reload() throws InterruptedException {
    StartFile next;
    OperatorFile nextOperator;
    try {
      next = StartFile.read(file);
      next.takeStoredEndpointList();
      nextOperator = operator == null ? null : OperatorFile.read(operator.path());
    } catch (InvalidSettingsException fault) {
      Event.RELOAD_REFUSED.log(LOG, Level.ERROR, "all stays as it was", fault.getMessage());
      return;
    }
    loop.execute(
        () -> {
          Event.RELOADED.log(LOG, Level.INFO, "", next.discovery());
          next.changesNeedingRestart(start).forEach(this::needsRestart);
          descriptors.setLimit(next.maxDescriptors() - reserved);
          watch.moveTo(next.discovery());
          agree(next);
          heed(nextOperator);
        });
    if (nextOperator != null) {
      nextOperator.changesNeedingRestart(operator).forEach(this::needsRestart);
      keepBy(nextOperator);
    }
  }

  /**
   * All of the settings or none. What was taken goes on: the decisions keep its terms, its
   * executions and who owes what, and see to it that the new rules hold for all that is sent from
   * here on.
   */
  private void agree(StartFile next) {
    if (next.hasSettingsOf(fleet == null ? inForce : start)) {
      return;
    }
    if (fleet != null) {
      Event.SETTINGS_LEFT.log(
          LOG, Level.ERROR, "this fleet agrees on its settings: propose a version", "settings");
      return;
    }
    List<String> fixed = next.changesOfFixedSettings(inForce);
    if (!fixed.isEmpty()) {
      Event.SETTINGS_LEFT.log(
          LOG,
          Level.ERROR,
          "these need a restart; all settings stay as they were",
          String.join(",", fixed));
      return;
    }
    WorkloadSlots room = slots.with(next.startValues().workloadNames());
    if (room.size() > WorkloadSlots.MAX_SLOTS) {
      Event.SETTINGS_LEFT.log(
          LOG,
          Level.ERROR,
          "more names than one run has room for: this needs a restart; all "
              + "settings stay as they were",
          "settings.Classes[].Name");
      return;
    }
    adopt(next);
    // In one step: what was read before this is heard before it, what is read from here on goes by
    // both.
    slots = room;
    clients.setWorkloadSlots(room);
    iteration.hear(
        now ->
            core.applySettings(
                now,
                balancer ->
                    balancer.applySettings(
                        now,
                        room.arrange(
                            next.startValues().settings(), next.startValues().workloadNames()))));
    Event.SETTINGS_TAKEN.log(LOG, Level.INFO, "", executor.open());
  }

  /** What of the settings is not the decisions'. */
  private void adopt(StartFile next) {
    inForce = next;
    StartValues values = next.startValues();
    longestTimeout = longestTimeout.longer(values.longestTimeout());
    executor.reads(values.loadReportFormat(0), values.connectTimeout());
    clients.setMaxRetryAfter(values.settings().attemptLimits().maxRetryAfter());
    connectWithin(values.connectTimeout());
    links.values().forEach(pool -> pool.within(values.connectTimeout(), values.idleClose()));
  }

  private void connectWithin(Span timeout) {
    outwards.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (timeout.micros() / 1_000));
  }

  private void needsRestart(String key) {
    Event.NEEDS_RESTART.log(LOG, Level.WARN, "takes effect at the next start", key);
  }

  // ---- What outlives the process.

  private SnapshotWriter keeper() {
    return operator == null || operator.folder() == null
        ? null
        : new SnapshotWriter(
            operator.folder(),
            operator.deployment(),
            start.name(),
            operator.snapshotPeriod(),
            operator.maxSnapshotBytes(),
            new SplittableRandom(start.seed()).split(),
            this::learnedOffLoop);
  }

  private void keepBy(OperatorFile next) throws InterruptedException {
    boolean same = Objects.equals(next.folder(), operator.folder());
    operator = next;
    if (same && snapshotWriter != null) {
      snapshotWriter.reconfigure(next.snapshotPeriod(), next.maxSnapshotBytes());
    } else if (!same) {
      SnapshotWriter former = snapshotWriter;
      snapshotWriter = keeper();
      if (former != null) {
        former.close(null);
        former.awaitClosed();
      }
      if (snapshotWriter != null) {
        // For the folder's lock and number: what this router has learned itself is newer than its
        // view.
        snapshotWriter.awaitRestore();
        snapshotWriter.startWriting();
      }
    }
  }

  private LearnedState learnedOffLoop() throws InterruptedException {
    Promise<LearnedState> told = loop.newPromise();
    List<KnownEndpoint> nodes = new ArrayList<>();
    loop.execute(() -> iteration.hear(now -> learnedOfSome(now, 0, nodes, told)));
    return told.await(LONGEST_EXPORT.micros(), TimeUnit.MICROSECONDS) ? told.getNow() : null;
  }

  /**
   * A few a turn: between them statements go on. Ages are told to the turn of each node, some ms
   * apart.
   */
  private void learnedOfSome(
      Moment now, int from, List<KnownEndpoint> nodes, Promise<LearnedState> told) {
    if (learnedFrom(now, from, NODES_A_TURN, nodes)) {
      loop.execute(
          () -> iteration.hear(next -> learnedOfSome(next, from + NODES_A_TURN, nodes, told)));
    } else {
      told.trySuccess(learned(now, nodes));
    }
  }

  private boolean learnedFrom(Moment now, int from, int places, List<KnownEndpoint> nodes) {
    return core.learned(
        now,
        from,
        places,
        (node, view) -> {
          ConnectionPool pool = links.get(node);
          if (pool != null && pool.address() != null) {
            nodes.add(new KnownEndpoint(node, Addresses.text(pool.address()), view));
          }
        });
  }

  private LearnedState learned(Moment now, List<KnownEndpoint> nodes) {
    return new LearnedState(
        operator.deployment(),
        start.name(),
        0,
        SystemClocks.unixMicros(),
        SystemClocks.monotonicMicros(),
        SystemClocks.bootId(),
        list.generation(),
        nodes,
        core.learnedOfGroups(now));
  }

  /**
   * Clients come once it listens: without a first look at the members their first statements would
   * wait for connections and for a primary; without a list that was asked for they might go to a
   * member that drains. One look at each: a second one comes when a poll is due, which in a router
   * without traffic is in half a minute, so that each start waited for its longest.
   */
  private void lookAround(Promise<Void> looked, long since) {
    long took = (System.nanoTime() - since) / 1_000;
    boolean seen = executor.hasLookedAround() || took > LONGEST_LOOK.micros();
    if ((seen && !watch.isFirst()) || took > LONGEST_CALL.micros()) {
      looked.setSuccess(null);
    } else {
      loop.schedule(() -> lookAround(looked, since), LOOK_AGAIN.micros(), TimeUnit.MICROSECONDS);
    }
  }

  /** Waits for its first grant, for as long as an election takes; then it serves with care. */
  private void joinFleet() throws InvalidSettingsException, InterruptedException {
    FleetSettings fleetSettings = operator == null ? null : operator.fleet();
    if (fleetSettings == null) {
      return;
    }
    Promise<Void> granted = loop.newPromise();
    loop.submit(
            () -> {
              leaseGuard =
                  new LeaseGuard(
                      start,
                      operator.maxStalenessBound(),
                      membership,
                      list,
                      () -> {
                        list.requestFullList();
                        watch.start();
                      },
                      (file, holds) -> {
                        if (file != inForce) {
                          adopt(file);
                        }
                        core.applySettings(
                            iteration.clock().now(),
                            balancer -> balancer.applySettings(iteration.clock().now(), holds));
                      });
              iteration.first(leaseGuard::look);
              executor.keepsTo(leaseGuard::stance);
            })
        .sync();
    try {
      VoterStore voterStore =
          VoterStore.read(fleetSettings.voterDirectory(), fleetSettings.name(), start.name());
      loop.submit(
              () -> {
                leaseGuard.follower().restoreEpoch(voterStore.latestEpoch());
                leaseGuard.begin(voterStore.inForce());
              })
          .sync();
      fleet =
          new FleetMember(
              fleetSettings,
              start.name(),
              voterStore,
              new SplittableRandom(start.seed()).split(),
              () -> loop.execute(this::beat),
              (grant, update) ->
                  loop.execute(
                      () ->
                          iteration.hear(
                              now -> {
                                leaseGuard.granted(now, grant, update);
                                if (!leaseGuard.follower().isRestricted()
                                    && membership.isSettled()) {
                                  granted.trySuccess(null);
                                }
                              })));
    } catch (Exception fault) {
      endUnserved();
      Throwable cause = fault;
      while (cause.getCause() != null) {
        cause = cause.getCause();
      }
      throw new InvalidSettingsException(
          List.of("fleet: " + start.name() + " can't take part: " + cause));
    }
    granted.await(JOINS.longer(fleetSettings.lease().times(4)).micros(), TimeUnit.MICROSECONDS);
  }

  private void beat() {
    LeaseHolder leaseHolder = leaseGuard.follower();
    Moment now = iteration.clock().now();
    boolean holds = !leaseHolder.isRestricted() && !leaseHolder.isExpired(now);
    fleet.sendHeartbeat(
        leaseHolder.registerHeartbeat(now),
        leaseHolder.epoch(),
        leaseHolder.inForce() == null ? 0 : leaseHolder.inForce().number(),
        holds ? leaseHolder.acknowledgedVersion() : 0,
        leaseGuard.refused(),
        leaseGuard.refusal(),
        holds,
        membership.report(now, core::isIdle));
  }

  private void build() {
    StartValues values = start.startValues();
    iteration = new LoopIteration(loop, clock, readinessClock);
    trace = new StatementTrace(follows, clock::now);
    swept = clock.now();
    buffers =
        new PooledByteBufAllocator(
            true,
            0,
            1,
            PAGE,
            CHUNK_ORDER,
            PooledByteBufAllocator.defaultSmallCacheSize(),
            PooledByteBufAllocator.defaultNormalCacheSize(),
            true);
    // Half of what buffers may take: the other half is for what is being read and written right
    // now.
    MemoryBudget budget = new MemoryBudget(PlatformDependent.maxDirectMemory() / 2);
    reserved = inUse() + RESERVED;
    descriptors = new Descriptors(start.maxDescriptors() - reserved, this::afterNextLook);
    outwards =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOCATOR, buffers);
    connectWithin(values.connectTimeout());
    RateLimitedLog badNodes =
        new RateLimitedLog(
            LoggerFactory.getLogger(ConnectionPool.class), Event.NODE_BAD, clock::now);
    Function<String, ConnectionPool> linkTo =
        node ->
            links.computeIfAbsent(
                node,
                name ->
                    new ConnectionPool(
                        name,
                        outwards,
                        loop,
                        iteration,
                        descriptors,
                        budget,
                        inForce.startValues().connectTimeout(),
                        inForce.startValues().idleClose(),
                        badNodes));
    executor =
        new AttemptExecutor(
            iteration,
            loop,
            linkTo,
            this::forget,
            values.loadReportFormat(0),
            values.connectTimeout(),
            budget,
            trace);
    badClients =
        new RateLimitedLog(
            LoggerFactory.getLogger(ClientSessions.class), Event.CLIENT_BAD, clock::now);
    slots = WorkloadSlots.of(values.workloadNames());
    clients =
        new ClientSessions(
            iteration, descriptors, slots, values.maxOpenStatements(), budget, badClients, trace);
    clients.setMaxRetryAfter(values.settings().attemptLimits().maxRetryAfter());
    iteration.last(descriptors::endLongestIdleClients);
    longestTimeout = values.longestTimeout();
    holds = values.defaultHoldBudget();
    core =
        new StatementRouter<>(
            executor, values.loadBalancerFactory(start.seed(), iteration.now(), holds));
    heed(operator);
    list =
        new EndpointList(core, values.zones(), (node, address) -> linkTo.apply(node).at(address));
    if (operator != null && operator.fleet() != null) {
      // What was begun before it lets go of a member is over when others may use it in another
      // group.
      membership =
          new MembershipView(
              operator.fleet().fencingTime(),
              operator.fleet().assignmentLifetime().minus(values.longestTimeout()));
      list.setMembershipView(membership, clock::now);
    }
    watch = new DiscoveryWatch(outwards, start.discovery(), iteration, list, core);
    list.setClockOffset(iteration.clockOffset());
    executor.onClockMoved(list::publishStartTimes);
    clients.start(core, executor);
    executor.serve(core, watch::start);
    every(SWEEPS, "sweeping", this::sweep);
    every(READS, "reading tables", this::readTables);
    every(REPORTS, "reporting counters", this::report);
  }

  /** By way of a task: what is put behind this iteration from behind it would run in it. */
  private void afterNextLook(Runnable task) {
    loop.executeAfterEventLoopIteration(() -> loop.execute(task));
  }

  /** A task that is repeated would never run again after one fault. */
  private void every(Span period, String what, Runnable step) {
    loop.scheduleWithFixedDelay(
        () -> {
          try {
            step.run();
          } catch (RuntimeException fault) {
            Event.FAULT.fault(LOG, "", fault, what);
          }
        },
        period.micros(),
        period.micros(),
        TimeUnit.MICROSECONDS);
  }

  private void sweep() {
    Moment now = iteration.clock().now();
    trace.loopWas(now.since(swept).minus(SWEEPS));
    swept = now;
    clients.sweep();
    if (accepting != null) {
      accepting.sweep(now);
    }
  }

  private void report() {
    iteration.counters().add(Counter.LISTEN_OVERFLOWS, listenQueue.newOverflows());
    iteration.counters().report();
    descriptors.report();
    core.reportPolledGroups();
  }

  /**
   * The table of each member in use every third time: all tell the same, so a group is asked about
   * once a second.
   */
  private void readTables() {
    reads++;
    int place = 0;
    for (String node : List.copyOf(executor.polledLately())) {
      if ((place++ + reads) % READ_IN == 0) {
        executor.readTable(node);
      }
    }
  }

  /** What the operator says of holds and planned changes; nothing where there is no file. */
  private void heed(OperatorFile by) {
    if (by != null) {
      executor.asksFor(by.switchoverTable());
      holds.limit(
          by.maxHeldStatements() > 0
              ? by.maxHeldStatements()
              : Math.max(1, start.startValues().maxOpenStatements() / 2),
          by.maxHeldBytes());
    }
  }

  private void begin(StateRestore restore) {
    list.restoreFrom(restore, executor::isAbsent);
    iteration.hear(
        now -> {
          try {
            if (start.hasStoredEndpointList()) {
              list.takeUpdate(now, EndpointUpdate.of(start.takeStoredEndpointList()), false);
              return;
            }
          } catch (InvalidEndpointListException fault) {
            Event.KNOWN_LEFT_OUT.log(LOG, Level.WARN, "", fault.getMessage());
          }
          list.publishRestored(now);
        });
  }

  private ChannelFuture listen() {
    enter(RouterPhase.LISTENING);
    int queueLength = listenQueue.length();
    accepting =
        new AcceptHandler(
            iteration,
            descriptors,
            queueLength,
            new RateLimitedLog(
                LoggerFactory.getLogger(AcceptHandler.class), Event.ACCEPT_PAUSED, clock::now));
    return new ServerBootstrap()
        .group(loop, loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, queueLength)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.RECVBUF_ALLOCATOR, accepting.newAcceptAllocator())
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.ALLOCATOR, buffers)
        .childOption(ChannelOption.RECVBUF_ALLOCATOR, new ClientReceiveAllocator())
        .handler(accepting)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(
                        new ClientChannel(
                            clients.admit(accepting.queuedSince(), accepting.silentSince())));
              }
            })
        .bind(start.listen());
  }

  private void forget(String node) {
    ConnectionPool pool = links.remove(node);
    if (pool != null) {
      pool.letGo();
    }
  }

  /** Open descriptors now; where that can't be seen, as many as a runtime commonly holds. */
  private static int inUse() {
    String[] open = new File("/proc/self/fd").list();
    return open == null ? RESERVED : open.length;
  }

  private void enter(RouterPhase next) {
    if (next.ordinal() > phase.ordinal()) {
      Event.PHASE.log(LOG, Level.INFO, "", next, phase);
      phase = next;
    }
  }

  /** Goes on serving while clients may still come, then answers what it took and stops. */
  public void drain() {
    if (loop == null) {
      stopped.countDown();
    }
    if (stopped.getCount() == 0) {
      return;
    }
    try {
      loop.execute(this::beginDrain);
    } catch (RejectedExecutionException ended) {
      stopped.countDown();
    }
  }

  private void beginDrain() {
    if (phase == RouterPhase.SERVING || phase == RouterPhase.LISTENING) {
      enter(RouterPhase.DRAINING);
      Span left = SPARED.plus(longestTimeout.shorter(LONGEST_SPARED)).minus(ANSWERS_BEFORE);
      clients.setShutdownDeadline(iteration.clock().now().plus(left));
      // What the system keeps back is accepted before the listener closes, where time allows.
      Span listens =
          accepting.endDeferral().shorter(left.minus(STILL_LISTENS)).longer(STILL_LISTENS);
      loop.schedule(
          () ->
              accepting.closeWhenQueueIsEmpty(
                  () -> {
                    clients.closeIdleClients();
                    stopOnceAnswered();
                  }),
          listens.micros(),
          TimeUnit.MICROSECONDS);
      loop.schedule(this::stop, left.micros(), TimeUnit.MICROSECONDS);
    } else if (phase != RouterPhase.DRAINING) {
      stop();
    }
  }

  /**
   * It could not be set up: nothing is owed, and a signal to end that comes just then waits for
   * nothing.
   */
  private void endUnserved() {
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    stopped.countDown();
  }

  private void stopOnceAnswered() {
    if (clients.isEmpty() && executor.open() == 0) {
      stop();
    } else if (phase == RouterPhase.DRAINING) {
      loop.schedule(this::stopOnceAnswered, LOOK_AGAIN.micros(), TimeUnit.MICROSECONDS);
    }
  }

  private void stop() {
    if (phase == RouterPhase.STOPPED) {
      return;
    }
    enter(RouterPhase.STOPPED);
    if (iteration == null) {
      end();
      return;
    }
    report();
    clients.refuseAllStatements();
    iteration.hear(executor::answerAll);
    iteration.hear(
        now ->
            iteration.act(
                () -> {
                  if (listener != null) {
                    listener.close();
                  }
                  clients.endAllImmediately();
                }));
    if (snapshotWriter != null && core != null) {
      iteration.hear(
          now -> {
            List<KnownEndpoint> nodes = new ArrayList<>();
            learnedFrom(now, 0, Integer.MAX_VALUE / 2, nodes);
            snapshotWriter.close(learned(now, nodes));
            iteration.act(() -> endOnceLeft(Moment.NEVER));
          });
    } else {
      iteration.hear(now -> iteration.act(() -> endOnceLeft(Moment.NEVER)));
    }
  }

  /**
   * Its last answers are on their way: a process that ends over unread bytes would take them back.
   */
  private void endOnceLeft(Moment by) {
    Moment now = iteration.clock().now();
    Moment latest = by.earlier(now.plus(ANSWERS_BEFORE.minus(ENDS_BEFORE)));
    if (clients.isEmpty() || !now.isBefore(latest)) {
      end();
    } else {
      loop.schedule(() -> endOnceLeft(latest), LOOK_AGAIN.micros(), TimeUnit.MICROSECONDS);
    }
  }

  private void end() {
    if (fleet != null) {
      Thread leaves = new Thread(fleet::close, "leaves");
      leaves.setDaemon(true);
      leaves.start();
    }
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    stopped.countDown();
  }

  /** Where it listens; the port is its own choice where the start file gives 0. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Buffers that a stopped router has not released; none where every owner did its part. */
  public long buffersHeld() throws InterruptedException {
    group.terminationFuture().await();
    return buffers.metric().directArenas().stream()
        .mapToLong(arena -> arena.numActiveAllocations())
        .sum();
  }

  public void awaitStop() throws InterruptedException {
    stopped.await();
    if (snapshotWriter != null) {
      snapshotWriter.awaitClosed();
    }
  }
}
