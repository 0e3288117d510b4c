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
import basaltlever.snapshot.LearnedState;
import basaltlever.snapshot.StateRestore;
import basaltlever.snapshot.StoredEndpoint;
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
  private static final Span MIN_LISTEN_TIME = Span.ofMillis(500);

  /**
   * Not before this long after the signal and the longest statement timeout is a process killed.
   */
  private static final Span KILL_GRACE = Span.ofMillis(700);

  /** A longest statement timeout of more counts as this much there. */
  private static final Span MAX_GRACE_TIMEOUT = Span.ofMillis(3_000);

  /**
   * By so much sooner all is answered, and by the other it ends though clients keep their side
   * open.
   */
  private static final Span ANSWER_MARGIN = Span.ofMillis(120);

  private static final Span EXIT_MARGIN = Span.ofMillis(40);
  private static final Span SWEEP_INTERVAL = Span.ofMillis(200);
  private static final Span TABLE_READ_INTERVAL = Span.ofMillis(1_000);
  private static final int TABLE_READ_ROUNDS = 3;
  private static final Span REPORT_INTERVAL = Span.ofMillis(5_000);
  private static final Span MAX_FIRST_POLL_WAIT = Span.ofMillis(1_000);

  /** For the first list to come; a process is held to what discovery knows before it has asked. */
  private static final Span MAX_FIRST_LIST_WAIT = Span.ofMillis(2_000);

  private static final int ENDPOINTS_PER_EXPORT_STEP = 32;
  private static final Span EXPORT_TIMEOUT = Span.ofMillis(1_000);
  private static final Span RECHECK_INTERVAL = Span.ofMillis(10);

  /**
   * Sockets of the loop, the listener and discovery, and files that the runtime opens late. Clients
   * are accepted only where there is room for them.
   */
  private static final int RESERVED_DESCRIPTORS = 24;

  private static final int BUFFER_PAGE_BYTES = 8_192;
  private static final int BUFFER_CHUNK_ORDER = 6;

  /**
   * Connections that may wait to be accepted; the system may allow fewer. Where it overflows Linux
   * answers by SYN cookies, and resets connections that their clients take to be established.
   */
  private static final int LISTEN_QUEUE_LENGTH = 4_096;

  private static final Span MIN_JOIN_TIMEOUT = Span.ofMillis(4_000);

  private final SystemListenQueue listenQueue = new SystemListenQueue(LISTEN_QUEUE_LENGTH);
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final Map<String, ConnectionPool> pools = new LinkedHashMap<>();
  private RouterPhase phase = RouterPhase.READING;
  private Path file;
  private StartFile start;

  /** The file whose settings hold. */
  private StartFile fileInForce;

  private volatile OperatorFile operator;

  /** Set by the thread that starts and reloads, ended by the loop. */
  private volatile SnapshotWriter snapshotWriter;

  private LoopIteration iteration;
  private StatementRouter<String> core;
  private EndpointList list;
  private DiscoveryWatch watch;
  private Descriptors descriptors;
  private Bootstrap outboundBootstrap;
  private int reservedDescriptors;
  private int tableReadRound;
  private MultiThreadIoEventLoopGroup group;

  /** Read by the thread that hears the signal to end. */
  private volatile SingleThreadEventLoop loop;

  private volatile Channel listener;
  private AcceptHandler acceptHandler;
  private Clock clock;
  private ReadinessClock readinessClock;
  private ClientSessions clients;
  private WorkloadSlots slots;
  private RateLimitedLog badClientLog;
  private AttemptExecutor executor;
  private HoldBudget holdBudget;
  private Span longestTimeout;

  /** Statements that take longer are followed in the log; null for none. */
  private Span traceThreshold;

  private StatementTrace trace;
  private Moment lastSweepAt;
  private volatile FleetMember fleet;
  private LeaseGuard leaseGuard;
  private MembershipView membership;
  private PooledByteBufAllocator buffers;

  /** To be said before it starts: the life of each statement that takes longer goes to the log. */
  public void traceStatementsSlowerThan(Span threshold) {
    traceThreshold = threshold;
  }

  /**
   * Reads, listens, and returns once it serves. The operator's file is null where there is none.
   */
  public void start(Path startFilePath, OperatorFile operatorFile)
      throws InvalidSettingsException, InterruptedException {
    file = startFilePath;
    start = StartFile.read(startFilePath);
    fileInForce = start;
    operator = operatorFile;
    snapshotWriter = createSnapshotWriter();
    Span longest = start.startValues().longestTimeout();
    if (operatorFile != null
        && operatorFile.fleet() != null
        && operatorFile
            .fleet()
            .assignmentLifetime()
            .isShorterThan(longest.plus(operatorFile.fleet().fencingTime()))) {
      throw new InvalidSettingsException(
          List.of(
              "fleet.assigned_ms is "
                  + operatorFile.fleet().assignmentLifetime().micros() / 1_000
                  + ", less than fleet.stated_ms and the longest HardLimit together: what is out at a member then"
                  + " would not be over"));
    }
    enterPhase(RouterPhase.DISCOVERING);
    clock = new Clock();
    readinessClock = new ReadinessClock(clock::now);
    group = new MultiThreadIoEventLoopGroup(1, PreciseSelectStrategy.newFactory(readinessClock));
    loop = (SingleThreadEventLoop) group.next();
    loop.submit(this::build).sync();
    // Read meanwhile, on the keeper's thread: what it loads first would else be added to the start.
    StateRestore restore =
        snapshotWriter == null ? StateRestore.EMPTY : snapshotWriter.awaitRestore();
    loop.submit(() -> restore(restore)).sync();
    joinFleet();
    Promise<Void> firstPolls = loop.newPromise();
    loop.execute(() -> awaitFirstPolls(firstPolls, System.nanoTime()));
    // The loop waits for the first look: what is loaded meanwhile delays the start least.
    ListenerSocket.load();
    firstPolls.sync();
    ChannelFuture bound = loop.submit(this::listen).sync().getNow();
    if (!bound.await().isSuccess()) {
      shutDownUnserved();
      if (snapshotWriter != null) {
        snapshotWriter.close(null);
      }
      throw new InvalidSettingsException(
          List.of("listen: " + start.listen() + " can't be bound: " + bound.cause().getMessage()));
    }
    listener = bound.channel();
    enableAcceptDeferral();
    loop.submit(
            () -> {
              executor.onServing();
              enterPhase(RouterPhase.SERVING);
            })
        .sync();
    Event.SERVES.log(LOG, Level.INFO, "", start.name(), address());
    if (snapshotWriter != null) {
      snapshotWriter.startWriting();
    }
  }

  private void enableAcceptDeferral() throws InterruptedException {
    try {
      ListenerSocket socket = ListenerSocket.find(address());
      loop.submit(() -> acceptHandler.beginDeferral(socket)).sync();
    } catch (IOException fault) {
      Event.ACCEPT_DEFERRED.log(LOG, Level.WARN, "", "UNAVAILABLE", fault);
    }
  }

  /**
   * Reads both files again, off the loop, so that a slow disk holds nobody; where one is faulty
   * both are left.
   */
  public void reload() throws InterruptedException {
    StartFile newFile;
    OperatorFile newOperatorFile;
    try {
      newFile = StartFile.read(file);
      newFile.takeStoredEndpointList();
      newOperatorFile = operator == null ? null : OperatorFile.read(operator.path());
    } catch (InvalidSettingsException fault) {
      Event.RELOAD_REFUSED.log(LOG, Level.ERROR, "all stays as it was", fault.getMessage());
      return;
    }
    loop.execute(
        () -> {
          Event.RELOADED.log(LOG, Level.INFO, "", newFile.discovery());
          newFile.changesNeedingRestart(start).forEach(this::logNeedsRestart);
          descriptors.setLimit(newFile.maxDescriptors() - reservedDescriptors);
          watch.setDiscoveryAddress(newFile.discovery());
          applySettings(newFile);
          applyOperatorFile(newOperatorFile);
        });
    if (newOperatorFile != null) {
      newOperatorFile.changesNeedingRestart(operator).forEach(this::logNeedsRestart);
      updateSnapshotWriter(newOperatorFile);
    }
  }

  /**
   * All of the settings or none. What was taken goes on: the decisions keep its terms, its
   * executions and who owes what, and see to it that the new rules hold for all that is sent from
   * here on.
   */
  private void applySettings(StartFile newFile) {
    if (newFile.hasSettingsOf(fleet == null ? fileInForce : start)) {
      return;
    }
    if (fleet != null) {
      Event.SETTINGS_LEFT.log(
          LOG, Level.ERROR, "this fleet agrees on its settings: propose a version", "settings");
      return;
    }
    List<String> keysNeedingRestart = newFile.changesOfFixedSettings(fileInForce);
    if (!keysNeedingRestart.isEmpty()) {
      Event.SETTINGS_LEFT.log(
          LOG,
          Level.ERROR,
          "these need a restart; all settings stay as they were",
          String.join(",", keysNeedingRestart));
      return;
    }
    WorkloadSlots newSlots = slots.with(newFile.startValues().workloadNames());
    if (newSlots.size() > WorkloadSlots.MAX_SLOTS) {
      Event.SETTINGS_LEFT.log(
          LOG,
          Level.ERROR,
          "more names than one run has room for: this needs a restart; all "
              + "settings stay as they were",
          "settings.Classes[].Name");
      return;
    }
    applyStartValues(newFile);
    // In one step: what was read before this is heard before it, what is read from here on goes by
    // both.
    slots = newSlots;
    clients.setWorkloadSlots(newSlots);
    iteration.enqueue(
        now ->
            core.applySettings(
                now,
                balancer ->
                    balancer.applySettings(
                        now,
                        newSlots.arrange(
                            newFile.startValues().settings(),
                            newFile.startValues().workloadNames()))));
    Event.SETTINGS_TAKEN.log(LOG, Level.INFO, "", executor.openStatements());
  }

  /** What of the settings is not the decisions'. */
  private void applyStartValues(StartFile newFile) {
    fileInForce = newFile;
    StartValues values = newFile.startValues();
    longestTimeout = longestTimeout.longer(values.longestTimeout());
    executor.configurePolls(values.loadReportFormat(0), values.connectTimeout());
    clients.setMaxRetryAfter(values.settings().attemptLimits().maxRetryAfter());
    setConnectTimeout(values.connectTimeout());
    pools.values().forEach(pool -> pool.setTimeouts(values.connectTimeout(), values.idleClose()));
  }

  private void setConnectTimeout(Span timeout) {
    outboundBootstrap.option(
        ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (timeout.micros() / 1_000));
  }

  private void logNeedsRestart(String key) {
    Event.NEEDS_RESTART.log(LOG, Level.WARN, "takes effect at the next start", key);
  }

  // ---- What outlives the process.

  private SnapshotWriter createSnapshotWriter() {
    return operator == null || operator.folder() == null
        ? null
        : new SnapshotWriter(
            operator.folder(),
            operator.deployment(),
            start.name(),
            operator.snapshotPeriod(),
            operator.maxSnapshotBytes(),
            new SplittableRandom(start.seed()).split(),
            this::exportStateOffLoop);
  }

  private void updateSnapshotWriter(OperatorFile newOperatorFile) throws InterruptedException {
    boolean isSameFolder = Objects.equals(newOperatorFile.folder(), operator.folder());
    operator = newOperatorFile;
    if (isSameFolder && snapshotWriter != null) {
      snapshotWriter.reconfigure(
          newOperatorFile.snapshotPeriod(), newOperatorFile.maxSnapshotBytes());
    } else if (!isSameFolder) {
      SnapshotWriter previousWriter = snapshotWriter;
      snapshotWriter = createSnapshotWriter();
      if (previousWriter != null) {
        previousWriter.close(null);
        previousWriter.awaitClosed();
      }
      if (snapshotWriter != null) {
        // For the folder's lock and number: what this router has learned itself is newer than its
        // view.
        snapshotWriter.awaitRestore();
        snapshotWriter.startWriting();
      }
    }
  }

  private LearnedState exportStateOffLoop() throws InterruptedException {
    Promise<LearnedState> exported = loop.newPromise();
    List<StoredEndpoint> endpoints = new ArrayList<>();
    loop.execute(() -> iteration.enqueue(now -> exportStep(now, 0, endpoints, exported)));
    return exported.await(EXPORT_TIMEOUT.micros(), TimeUnit.MICROSECONDS)
        ? exported.getNow()
        : null;
  }

  /**
   * A few a turn: between them statements go on. Ages are told to the turn of each node, some ms
   * apart.
   */
  private void exportStep(
      Moment now, int from, List<StoredEndpoint> endpoints, Promise<LearnedState> exported) {
    if (exportEndpoints(now, from, ENDPOINTS_PER_EXPORT_STEP, endpoints)) {
      loop.execute(
          () ->
              iteration.enqueue(
                  next -> exportStep(next, from + ENDPOINTS_PER_EXPORT_STEP, endpoints, exported)));
    } else {
      exported.trySuccess(learnedState(now, endpoints));
    }
  }

  private boolean exportEndpoints(Moment now, int from, int count, List<StoredEndpoint> endpoints) {
    return core.collectEndpointStates(
        now,
        from,
        count,
        (endpoint, view) -> {
          ConnectionPool pool = pools.get(endpoint);
          if (pool != null && pool.address() != null) {
            endpoints.add(new StoredEndpoint(endpoint, Addresses.text(pool.address()), view));
          }
        });
  }

  private LearnedState learnedState(Moment now, List<StoredEndpoint> endpoints) {
    return new LearnedState(
        operator.deployment(),
        start.name(),
        0,
        SystemClocks.unixMicros(),
        SystemClocks.monotonicMicros(),
        SystemClocks.bootId(),
        list.generation(),
        endpoints,
        core.groupStates(now));
  }

  /**
   * Clients come once it listens: without a first look at the members their first statements would
   * wait for connections and for a primary; without a list that was asked for they might go to a
   * member that drains. One look at each: a second one comes when a poll is due, which in a router
   * without traffic is in half a minute, so that each start waited for its longest.
   */
  private void awaitFirstPolls(Promise<Void> firstPolls, long startNanos) {
    long elapsedMicros = (System.nanoTime() - startNanos) / 1_000;
    boolean isPolled =
        executor.hasCompletedFirstPolls() || elapsedMicros > MAX_FIRST_POLL_WAIT.micros();
    if ((isPolled && !watch.isFirstCallPending()) || elapsedMicros > MAX_FIRST_LIST_WAIT.micros()) {
      firstPolls.setSuccess(null);
    } else {
      loop.schedule(
          () -> awaitFirstPolls(firstPolls, startNanos),
          RECHECK_INTERVAL.micros(),
          TimeUnit.MICROSECONDS);
    }
  }

  /** Waits for its first grant, for as long as an election takes; then it serves with care. */
  private void joinFleet() throws InvalidSettingsException, InterruptedException {
    FleetSettings fleetSettings = operator == null ? null : operator.fleet();
    if (fleetSettings == null) {
      return;
    }
    Promise<Void> firstGrant = loop.newPromise();
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
                      (newFile, effective) -> {
                        if (newFile != fileInForce) {
                          applyStartValues(newFile);
                        }
                        core.applySettings(
                            iteration.clock().now(),
                            balancer -> balancer.applySettings(iteration.clock().now(), effective));
                      });
              iteration.setFirstStep(leaseGuard::checkLease);
              executor.setFencingTokenSource(leaseGuard::fencingToken);
            })
        .sync();
    try {
      VoterStore voterStore =
          VoterStore.read(fleetSettings.voterDirectory(), fleetSettings.name(), start.name());
      loop.submit(
              () -> {
                leaseGuard.leaseHolder().restoreEpoch(voterStore.latestEpoch());
                leaseGuard.begin(voterStore.inForce());
              })
          .sync();
      fleet =
          new FleetMember(
              fleetSettings,
              start.name(),
              voterStore,
              new SplittableRandom(start.seed()).split(),
              () -> loop.execute(this::sendHeartbeat),
              (grant, update) ->
                  loop.execute(
                      () ->
                          iteration.enqueue(
                              now -> {
                                leaseGuard.onGrant(now, grant, update);
                                if (!leaseGuard.leaseHolder().isRestricted()
                                    && membership.isSettled()) {
                                  firstGrant.trySuccess(null);
                                }
                              })));
    } catch (Exception fault) {
      shutDownUnserved();
      Throwable cause = fault;
      while (cause.getCause() != null) {
        cause = cause.getCause();
      }
      throw new InvalidSettingsException(
          List.of("fleet: " + start.name() + " can't take part: " + cause));
    }
    firstGrant.await(
        MIN_JOIN_TIMEOUT.longer(fleetSettings.lease().times(4)).micros(), TimeUnit.MICROSECONDS);
  }

  private void sendHeartbeat() {
    LeaseHolder leaseHolder = leaseGuard.leaseHolder();
    Moment now = iteration.clock().now();
    boolean holdsLease = !leaseHolder.isRestricted() && !leaseHolder.isExpired(now);
    fleet.sendHeartbeat(
        leaseHolder.registerHeartbeat(now),
        leaseHolder.epoch(),
        leaseHolder.inForce() == null ? 0 : leaseHolder.inForce().number(),
        holdsLease ? leaseHolder.acknowledgedVersion() : 0,
        leaseGuard.refusedVersion(),
        leaseGuard.refusalReason(),
        holdsLease,
        membership.createReport(now, core::isIdle));
  }

  private void build() {
    StartValues values = start.startValues();
    iteration = new LoopIteration(loop, clock, readinessClock);
    trace = new StatementTrace(traceThreshold, clock::now);
    lastSweepAt = clock.now();
    buffers =
        new PooledByteBufAllocator(
            true,
            0,
            1,
            BUFFER_PAGE_BYTES,
            BUFFER_CHUNK_ORDER,
            PooledByteBufAllocator.defaultSmallCacheSize(),
            PooledByteBufAllocator.defaultNormalCacheSize(),
            true);
    // Half of what buffers may take: the other half is for what is being read and written right
    // now.
    MemoryBudget budget = new MemoryBudget(PlatformDependent.maxDirectMemory() / 2);
    reservedDescriptors = countOpenDescriptors() + RESERVED_DESCRIPTORS;
    descriptors =
        new Descriptors(start.maxDescriptors() - reservedDescriptors, this::runAfterNextSelect);
    outboundBootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOCATOR, buffers);
    setConnectTimeout(values.connectTimeout());
    RateLimitedLog badEndpointLog =
        new RateLimitedLog(
            LoggerFactory.getLogger(ConnectionPool.class), Event.NODE_BAD, clock::now);
    Function<String, ConnectionPool> poolOf =
        endpoint ->
            pools.computeIfAbsent(
                endpoint,
                name ->
                    new ConnectionPool(
                        name,
                        outboundBootstrap,
                        loop,
                        iteration,
                        descriptors,
                        budget,
                        fileInForce.startValues().connectTimeout(),
                        fileInForce.startValues().idleClose(),
                        badEndpointLog));
    executor =
        new AttemptExecutor(
            iteration,
            loop,
            poolOf,
            this::removePool,
            values.loadReportFormat(0),
            values.connectTimeout(),
            budget,
            trace);
    badClientLog =
        new RateLimitedLog(
            LoggerFactory.getLogger(ClientSessions.class), Event.CLIENT_BAD, clock::now);
    slots = WorkloadSlots.of(values.workloadNames());
    clients =
        new ClientSessions(
            iteration, descriptors, slots, values.maxOpenStatements(), budget, badClientLog, trace);
    clients.setMaxRetryAfter(values.settings().attemptLimits().maxRetryAfter());
    iteration.setLastStep(descriptors::endLongestIdleClients);
    longestTimeout = values.longestTimeout();
    holdBudget = values.defaultHoldBudget();
    core =
        new StatementRouter<>(
            executor, values.loadBalancerFactory(start.seed(), iteration.now(), holdBudget));
    applyOperatorFile(operator);
    list =
        new EndpointList(
            core,
            values.zones(),
            (endpoint, address) -> poolOf.apply(endpoint).setAddress(address));
    if (operator != null && operator.fleet() != null) {
      // What was begun before it lets go of a member is over when others may use it in another
      // group.
      membership =
          new MembershipView(
              operator.fleet().fencingTime(),
              operator.fleet().assignmentLifetime().minus(values.longestTimeout()));
      list.setMembershipView(membership, clock::now);
    }
    watch = new DiscoveryWatch(outboundBootstrap, start.discovery(), iteration, list, core);
    list.setClockOffset(iteration.clockOffset());
    executor.onClockOffsetChanged(list::publishStartTimes);
    clients.start(core, executor);
    executor.setCore(core, watch::start);
    scheduleRepeatedly(SWEEP_INTERVAL, "sweeping", this::sweep);
    scheduleRepeatedly(TABLE_READ_INTERVAL, "reading tables", this::querySwitchoverTables);
    scheduleRepeatedly(REPORT_INTERVAL, "reporting counters", this::report);
  }

  /** By way of a task: what is put behind this iteration from behind it would run in it. */
  private void runAfterNextSelect(Runnable task) {
    loop.executeAfterEventLoopIteration(() -> loop.execute(task));
  }

  /** A task that is repeated would never run again after one fault. */
  private void scheduleRepeatedly(Span period, String description, Runnable step) {
    loop.scheduleWithFixedDelay(
        () -> {
          try {
            step.run();
          } catch (RuntimeException fault) {
            Event.FAULT.fault(LOG, "", fault, description);
          }
        },
        period.micros(),
        period.micros(),
        TimeUnit.MICROSECONDS);
  }

  private void sweep() {
    Moment now = iteration.clock().now();
    trace.loopWas(now.since(lastSweepAt).minus(SWEEP_INTERVAL));
    lastSweepAt = now;
    clients.sweep();
    if (acceptHandler != null) {
      acceptHandler.sweep(now);
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
  private void querySwitchoverTables() {
    tableReadRound++;
    int position = 0;
    for (String endpoint : List.copyOf(executor.recentlyPolled())) {
      if ((position++ + tableReadRound) % TABLE_READ_ROUNDS == 0) {
        executor.querySwitchoverTable(endpoint);
      }
    }
  }

  /** What the operator says of holds and planned changes; nothing where there is no file. */
  private void applyOperatorFile(OperatorFile operatorFile) {
    if (operatorFile != null) {
      executor.setSwitchoverTable(operatorFile.switchoverTable());
      holdBudget.setLimits(
          operatorFile.maxHeldStatements() > 0
              ? operatorFile.maxHeldStatements()
              : Math.max(1, start.startValues().maxOpenStatements() / 2),
          operatorFile.maxHeldBytes());
    }
  }

  private void restore(StateRestore restoredState) {
    list.restoreFrom(restoredState, executor::excludeFromStartup);
    iteration.enqueue(
        now -> {
          try {
            if (start.hasStoredEndpointList()) {
              list.applyUpdate(now, EndpointUpdate.parse(start.takeStoredEndpointList()), false);
              return;
            }
          } catch (InvalidEndpointListException fault) {
            Event.KNOWN_LEFT_OUT.log(LOG, Level.WARN, "", fault.getMessage());
          }
          list.publishRestored(now);
        });
  }

  private ChannelFuture listen() {
    enterPhase(RouterPhase.LISTENING);
    int queueLength = listenQueue.length();
    acceptHandler =
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
        .option(ChannelOption.RECVBUF_ALLOCATOR, acceptHandler.newAcceptAllocator())
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.ALLOCATOR, buffers)
        .childOption(ChannelOption.RECVBUF_ALLOCATOR, new ClientReceiveAllocator())
        .handler(acceptHandler)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(
                        new ClientChannel(
                            clients.admit(
                                acceptHandler.queuedSince(), acceptHandler.silentSince())));
              }
            })
        .bind(start.listen());
  }

  private void removePool(String endpoint) {
    ConnectionPool pool = pools.remove(endpoint);
    if (pool != null) {
      pool.closeIdle();
    }
  }

  /** Open descriptors now; where that can't be seen, as many as a runtime commonly holds. */
  private static int countOpenDescriptors() {
    String[] open = new File("/proc/self/fd").list();
    return open == null ? RESERVED_DESCRIPTORS : open.length;
  }

  private void enterPhase(RouterPhase next) {
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
      enterPhase(RouterPhase.DRAINING);
      Span remaining =
          KILL_GRACE.plus(longestTimeout.shorter(MAX_GRACE_TIMEOUT)).minus(ANSWER_MARGIN);
      clients.setShutdownDeadline(iteration.clock().now().plus(remaining));
      // What the system keeps back is accepted before the listener closes, where time allows.
      Span listenTime =
          acceptHandler
              .endDeferral()
              .shorter(remaining.minus(MIN_LISTEN_TIME))
              .longer(MIN_LISTEN_TIME);
      loop.schedule(
          () ->
              acceptHandler.closeWhenQueueIsEmpty(
                  () -> {
                    clients.closeIdleClients();
                    stopOnceAnswered();
                  }),
          listenTime.micros(),
          TimeUnit.MICROSECONDS);
      loop.schedule(this::stop, remaining.micros(), TimeUnit.MICROSECONDS);
    } else if (phase != RouterPhase.DRAINING) {
      stop();
    }
  }

  /**
   * It could not be set up: nothing is owed, and a signal to end that comes just then waits for
   * nothing.
   */
  private void shutDownUnserved() {
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    stopped.countDown();
  }

  private void stopOnceAnswered() {
    if (clients.isEmpty() && executor.openStatements() == 0) {
      stop();
    } else if (phase == RouterPhase.DRAINING) {
      loop.schedule(this::stopOnceAnswered, RECHECK_INTERVAL.micros(), TimeUnit.MICROSECONDS);
    }
  }

  private void stop() {
    if (phase == RouterPhase.STOPPED) {
      return;
    }
    enterPhase(RouterPhase.STOPPED);
    if (iteration == null) {
      shutDown();
      return;
    }
    report();
    clients.refuseAllStatements();
    iteration.enqueue(executor::answerAll);
    iteration.enqueue(
        now ->
            iteration.addEffect(
                () -> {
                  if (listener != null) {
                    listener.close();
                  }
                  clients.endAllImmediately();
                }));
    if (snapshotWriter != null && core != null) {
      iteration.enqueue(
          now -> {
            List<StoredEndpoint> endpoints = new ArrayList<>();
            exportEndpoints(now, 0, Integer.MAX_VALUE / 2, endpoints);
            snapshotWriter.close(learnedState(now, endpoints));
            iteration.addEffect(() -> endOnceClientsLeft(Moment.NEVER));
          });
    } else {
      iteration.enqueue(now -> iteration.addEffect(() -> endOnceClientsLeft(Moment.NEVER)));
    }
  }

  /**
   * Its last answers are on their way: a process that ends over unread bytes would take them back.
   */
  private void endOnceClientsLeft(Moment deadline) {
    Moment now = iteration.clock().now();
    Moment latestEnd = deadline.earlier(now.plus(ANSWER_MARGIN.minus(EXIT_MARGIN)));
    if (clients.isEmpty() || !now.isBefore(latestEnd)) {
      shutDown();
    } else {
      loop.schedule(
          () -> endOnceClientsLeft(latestEnd), RECHECK_INTERVAL.micros(), TimeUnit.MICROSECONDS);
    }
  }

  private void shutDown() {
    if (fleet != null) {
      Thread leaveThread = new Thread(fleet::close, "leaves");
      leaveThread.setDaemon(true);
      leaveThread.start();
    }
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    stopped.countDown();
  }

  /** Where it listens; the port is its own choice where the start file gives 0. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Buffers that a stopped router has not released; none where every owner did its part. */
  public long activeBuffers() throws InterruptedException {
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
