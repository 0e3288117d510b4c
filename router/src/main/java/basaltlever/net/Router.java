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
import basaltlever.gateway.PoolSettings;
import basaltlever.gateway.Settings;
import basaltlever.hold.HoldBudget;
import basaltlever.log.Counter;
import basaltlever.log.Event;
import basaltlever.log.RateLimitedLog;
import basaltlever.log.StatementTracer;
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
import io.netty.channel.WriteBufferWaterMark;
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

/** One router, from its start file to its exit. Its phase shows its progress. */
public final class Router {
  private static final Logger LOG = LoggerFactory.getLogger(Router.class);

  /** New connections arrive for up to 0.4 s after the termination signal. */
  private static final Span MIN_LISTEN_TIME = Span.ofMillis(500);

  /**
   * A process is not killed until this long, plus the longest statement timeout, after the
   * termination signal.
   */
  private static final Span KILL_GRACE = Span.ofMillis(700);

  /** Upper limit of the longest statement timeout in that period. */
  private static final Span MAX_GRACE_TIMEOUT = Span.ofMillis(3_000);

  /**
   * Margins before the kill. All statements are answered by the first; the process ends by the
   * second, even if clients keep their connections open.
   */
  private static final Span ANSWER_MARGIN = Span.ofMillis(120);

  private static final Span EXIT_MARGIN = Span.ofMillis(40);
  private static final Span SWEEP_INTERVAL = Span.ofMillis(200);
  private static final Span TABLE_READ_INTERVAL = Span.ofMillis(1_000);
  private static final int TABLE_READ_ROUNDS = 3;
  private static final Span REPORT_INTERVAL = Span.ofMillis(5_000);
  private static final Span MAX_FIRST_POLL_WAIT = Span.ofMillis(1_000);

  /**
   * Limits the wait for the first list at startup. A router is expected to follow the list that
   * discovery has, even before its first call.
   */
  private static final Span MAX_FIRST_LIST_WAIT = Span.ofMillis(2_000);

  private static final int ENDPOINTS_PER_EXPORT_STEP = 32;
  private static final Span EXPORT_TIMEOUT = Span.ofMillis(1_000);
  private static final Span RECHECK_INTERVAL = Span.ofMillis(10);

  /**
   * Descriptors for the sockets of the loop, the listener and discovery, and for files that the
   * runtime opens late. Clients are accepted only while descriptors are left for them.
   */
  private static final int RESERVED_DESCRIPTORS = 24;

  /** Unwritten bytes after which the messages of a client that does not read have to wait. */
  private static final WriteBufferWaterMark CLIENT_WRITE_LIMITS =
      new WriteBufferWaterMark(8 * 1024, 16 * 1024);

  private static final int BUFFER_PAGE_BYTES = 8_192;
  private static final int BUFFER_CHUNK_ORDER = 6;

  /**
   * Connections that may wait to be accepted; the system may allow fewer. On overflow Linux answers
   * with SYN cookies, and resets connections that clients consider established.
   */
  private static final int LISTEN_QUEUE_LENGTH = 4_096;

  private static final Span MIN_JOIN_TIMEOUT = Span.ofMillis(4_000);

  private final SystemListenQueue listenQueue = new SystemListenQueue(LISTEN_QUEUE_LENGTH);
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final Map<String, ConnectionPool> pools = new LinkedHashMap<>();
  private RouterPhase phase = RouterPhase.READING;
  private Path startFilePath;
  private StartFile startFile;

  /** The file whose settings are in force. */
  private StartFile fileInForce;

  /** The pool settings that the router complies with, as for a prepared version. */
  private PoolSettings poolSettings;

  /** Counts reloads: what was decided before one is not sent after it, but decided again. */
  private int settingsGeneration;

  private volatile OperatorFile operator;

  /** Set by the thread that starts and reloads, closed by the loop. */
  private volatile SnapshotWriter snapshotWriter;

  private LoopIteration iteration;
  private StatementRouter<String> core;
  private EndpointList endpointList;
  private DiscoveryWatch discoveryWatch;
  private Descriptors descriptors;
  private Bootstrap outboundBootstrap;
  private int reservedDescriptors;
  private int tableReadRound;
  private MultiThreadIoEventLoopGroup group;

  /** Read by the thread that handles the termination signal. */
  private volatile SingleThreadEventLoop loop;

  private volatile Channel listener;
  private AcceptHandler acceptHandler;
  private Clock clock;
  private ReadinessClock readinessClock;
  private ClientSessions clientSessions;
  private WorkloadSlots slots;
  private RateLimitedLog badClientLog;
  private AttemptExecutor executor;
  private HoldBudget holdBudget;
  private Span longestTimeout;

  /** Statements that take longer are traced in the log; null for none. */
  private Span traceThreshold;

  private StatementTracer trace;
  private Moment lastSweepAt;
  private volatile FleetMember fleet;
  private LeaseGuard leaseGuard;
  private MembershipView membership;
  private PooledByteBufAllocator buffers;

  /** Traces each statement that takes longer in the log. To be called before the start. */
  public void traceStatementsSlowerThan(Span threshold) {
    traceThreshold = threshold;
  }

  /**
   * Reads the files, listens, and returns once the router serves. The operator's file may be null.
   */
  public void start(Path path, OperatorFile operatorFile)
      throws InvalidSettingsException, InterruptedException {
    startFilePath = path;
    startFile = StartFile.read(path);
    fileInForce = startFile;
    operator = operatorFile;
    snapshotWriter = createSnapshotWriter();
    Span longest = startFile.startValues().longestTimeout();
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
    // Read on the snapshot writer's thread, in parallel: the classes that this loads would
    // otherwise delay the start.
    StateRestore restore =
        snapshotWriter == null ? StateRestore.EMPTY : snapshotWriter.awaitRestore();
    loop.submit(() -> restore(restore)).sync();
    joinFleet();
    Promise<Void> firstPolls = loop.newPromise();
    loop.execute(() -> awaitFirstPolls(firstPolls, System.nanoTime()));
    // The loop is waiting for the first polls, so loading these classes now delays the start least.
    ListenerSocket.load();
    firstPolls.sync();
    ChannelFuture bound = loop.submit(this::listen).sync().getNow();
    if (!bound.await().isSuccess()) {
      shutDownUnserved();
      if (snapshotWriter != null) {
        snapshotWriter.close(null);
      }
      throw new InvalidSettingsException(
          List.of(
              "listen: " + startFile.listen() + " can't be bound: " + bound.cause().getMessage()));
    }
    listener = bound.channel();
    enableAcceptDeferral();
    loop.submit(
            () -> {
              executor.onServing();
              enterPhase(RouterPhase.SERVING);
            })
        .sync();
    Event.SERVES.log(LOG, Level.INFO, "", startFile.name(), address());
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
   * Reads both files again, off the loop, so that a slow disk does not stall it. If one is faulty,
   * neither is applied.
   */
  public void reload() throws InterruptedException {
    StartFile newFile;
    OperatorFile newOperatorFile;
    try {
      newFile = StartFile.read(startFilePath);
      newFile.takeStoredEndpointList();
      newOperatorFile = operator == null ? null : OperatorFile.read(operator.path());
    } catch (InvalidSettingsException fault) {
      Event.RELOAD_REFUSED.log(
          LOG, Level.ERROR, "cannot read a file; keeping all settings", fault.getMessage());
      return;
    }
    loop.execute(
        () -> {
          Event.RELOADED.log(LOG, Level.INFO, "", newFile.discovery());
          newFile.changesNeedingRestart(startFile).forEach(this::logNeedsRestart);
          descriptors.setLimit(newFile.maxDescriptors() - reservedDescriptors);
          discoveryWatch.setDiscoveryAddress(newFile.discovery());
          applySettings(newFile);
          applyOperatorFile(newOperatorFile);
        });
    if (newOperatorFile != null) {
      newOperatorFile.changesNeedingRestart(operator).forEach(this::logNeedsRestart);
      updateSnapshotWriter(newOperatorFile);
    }
  }

  /**
   * Applies all of the settings or none. Statements that were accepted continue: the core keeps
   * their terms and attempts, and applies the new rules to everything sent from now on.
   */
  private void applySettings(StartFile newFile) {
    if (newFile.hasSameSettings(fleet == null ? fileInForce : startFile)) {
      return;
    }
    if (fleet != null) {
      Event.SETTINGS_LEFT.log(
          LOG,
          Level.ERROR,
          "this fleet agrees on its settings; propose a version instead of a reload",
          "settings");
      return;
    }
    List<String> keysNeedingRestart = newFile.changesOfFixedSettings(fileInForce);
    if (!keysNeedingRestart.isEmpty()) {
      Event.SETTINGS_LEFT.log(
          LOG,
          Level.ERROR,
          "these keys need a restart; keeping all settings",
          String.join(",", keysNeedingRestart));
      return;
    }
    WorkloadSlots newSlots = slots.with(newFile.startValues().workloadNames());
    if (newSlots.size() > WorkloadSlots.MAX_SLOTS) {
      Event.SETTINGS_LEFT.log(
          LOG,
          Level.ERROR,
          "more workload names than a process can track; needs a restart; "
              + "keeping all settings",
          "settings.Classes[].Name");
      return;
    }
    applyOutsideCore(newFile, newFile.startValues().settings());
    // In one step: input read before this is processed before it, and input read later is handled
    // by the new names and settings.
    slots = newSlots;
    clientSessions.setWorkloadSlots(newSlots);
    iteration.enqueue(
        now -> {
          settingsGeneration++;
          core.applySettings(
              now,
              balancer ->
                  balancer.applySettings(
                      now,
                      newSlots.arrange(
                          newFile.startValues().settings(),
                          newFile.startValues().workloadNames())));
        });
    Event.SETTINGS_TAKEN.log(LOG, Level.INFO, "", executor.openStatements());
  }

  /**
   * Applies the settings that are not handled by the core.
   *
   * @param newFile the file in force
   * @param effective the settings to comply with, which a prepared version may make stricter
   */
  private void applyOutsideCore(StartFile newFile, Settings effective) {
    fileInForce = newFile;
    poolSettings = effective.poolSettings();
    longestTimeout = longestTimeout.longer(newFile.startValues().longestTimeout());
    executor.configurePolls(
        newFile.startValues().loadReportFormat(0), poolSettings.connectTimeout());
    clientSessions.setMaxRetryAfter(effective.attemptLimits().maxRetryAfter());
    setConnectTimeout(poolSettings.connectTimeout());
    pools
        .values()
        .forEach(
            pool -> pool.setTimeouts(poolSettings.connectTimeout(), poolSettings.idleTimeout()));
  }

  private void setConnectTimeout(Span timeout) {
    outboundBootstrap.option(
        ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (timeout.micros() / 1_000));
  }

  private void logNeedsRestart(String key) {
    Event.NEEDS_RESTART.log(LOG, Level.WARN, "takes effect at the next start", key);
  }

  // ---- State that outlives the process.

  private SnapshotWriter createSnapshotWriter() {
    return operator == null || operator.snapshotDirectory() == null
        ? null
        : new SnapshotWriter(
            operator.snapshotDirectory(),
            operator.deployment(),
            startFile.name(),
            operator.snapshotPeriod(),
            operator.maxSnapshotBytes(),
            new SplittableRandom(startFile.seed()).split(),
            this::exportStateOffLoop);
  }

  private void updateSnapshotWriter(OperatorFile newOperatorFile) throws InterruptedException {
    boolean isSameFolder =
        Objects.equals(newOperatorFile.snapshotDirectory(), operator.snapshotDirectory());
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
        // Needed for the folder's lock and version number. The restored state is ignored, since
        // this router's own is newer.
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
   * Exports a few endpoints per iteration, so that statements are served in between. The ages of an
   * endpoint refer to the iteration that exported it; iterations are some milliseconds apart.
   */
  private void exportStep(
      Moment now, int from, List<StoredEndpoint> endpoints, Promise<LearnedState> exported) {
    if (exportEndpoints(now, from, ENDPOINTS_PER_EXPORT_STEP, endpoints)) {
      loop.execute(
          () ->
              iteration.enqueue(
                  next -> exportStep(next, from + ENDPOINTS_PER_EXPORT_STEP, endpoints, exported)));
    } else {
      exported.trySuccess(learnedState(endpoints));
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

  private LearnedState learnedState(List<StoredEndpoint> endpoints) {
    return new LearnedState(
        operator.deployment(),
        startFile.name(),
        0,
        SystemClocks.unixMicros(),
        SystemClocks.monotonicMicros(),
        SystemClocks.bootId(),
        endpointList.generation(),
        endpoints,
        List.of());
  }

  /**
   * Waits for the first poll of each endpoint and for the first list before the router listens.
   * Without the polls, the first statements would wait for connections and for a primary; without
   * the list, they might be sent to a draining endpoint. Only one poll of each is awaited: the
   * second one is due after half a minute in a router without traffic, and waiting for it made each
   * start take the maximum time.
   */
  private void awaitFirstPolls(Promise<Void> firstPolls, long startNanos) {
    long elapsedMicros = (System.nanoTime() - startNanos) / 1_000;
    boolean isPolled =
        executor.hasCompletedFirstPolls() || elapsedMicros > MAX_FIRST_POLL_WAIT.micros();
    if ((isPolled && !discoveryWatch.isFirstCallPending())
        || elapsedMicros > MAX_FIRST_LIST_WAIT.micros()) {
      firstPolls.setSuccess(null);
    } else {
      loop.schedule(
          () -> awaitFirstPolls(firstPolls, startNanos),
          RECHECK_INTERVAL.micros(),
          TimeUnit.MICROSECONDS);
    }
  }

  /**
   * Joins the fleet and waits for the first grant, for as long as an election takes. Without a
   * grant the router serves with the strictest settings.
   */
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
                      startFile,
                      operator.maxStalenessBound(),
                      membership,
                      endpointList,
                      () -> {
                        endpointList.requestFullList();
                        discoveryWatch.start();
                      },
                      (newFile, effective) -> {
                        applyOutsideCore(newFile, effective);
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
          VoterStore.open(fleetSettings.voterDirectory(), fleetSettings.name(), startFile.name());
      loop.submit(
              () -> {
                leaseGuard.leaseHolder().restoreEpoch(voterStore.latestEpoch());
                leaseGuard.begin(voterStore.inForce());
              })
          .sync();
      fleet =
          new FleetMember(
              fleetSettings,
              startFile.name(),
              voterStore,
              new SplittableRandom(startFile.seed()).split(),
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
          List.of("fleet: " + startFile.name() + " can't take part: " + cause));
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
    StartValues values = startFile.startValues();
    iteration = new LoopIteration(loop, clock, readinessClock);
    trace = new StatementTracer(traceThreshold, clock::now);
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
    // Half of the memory allowed for buffers. The other half is for data being read and written.
    MemoryBudget budget = new MemoryBudget(PlatformDependent.maxDirectMemory() / 2);
    reservedDescriptors = countOpenDescriptors() + RESERVED_DESCRIPTORS;
    descriptors =
        new Descriptors(startFile.maxDescriptors() - reservedDescriptors, this::runAfterNextSelect);
    outboundBootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOCATOR, buffers);
    poolSettings = values.settings().poolSettings();
    setConnectTimeout(poolSettings.connectTimeout());
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
                        poolSettings.connectTimeout(),
                        poolSettings.idleTimeout(),
                        badEndpointLog));
    executor =
        new AttemptExecutor(
            iteration,
            loop,
            poolOf,
            this::removePool,
            values.loadReportFormat(0),
            poolSettings.connectTimeout(),
            budget,
            trace);
    executor.setFencingTokenSource(now -> settingsGeneration);
    badClientLog =
        new RateLimitedLog(
            LoggerFactory.getLogger(ClientSessions.class), Event.CLIENT_BAD, clock::now);
    slots = WorkloadSlots.of(values.workloadNames());
    clientSessions =
        new ClientSessions(
            iteration, descriptors, slots, values.maxOpenStatements(), budget, badClientLog, trace);
    clientSessions.setMaxRetryAfter(values.settings().attemptLimits().maxRetryAfter());
    iteration.setLastStep(descriptors::endLongestIdleClients);
    longestTimeout = values.longestTimeout();
    holdBudget = values.defaultHoldBudget();
    core =
        new StatementRouter<>(
            executor, values.loadBalancerFactory(startFile.seed(), iteration.now(), holdBudget));
    applyOperatorFile(operator);
    endpointList =
        new EndpointList(
            core,
            values.zones(),
            (endpoint, address) -> poolOf.apply(endpoint).setAddress(address));
    if (operator != null && operator.fleet() != null) {
      // Attempts started before a router gives up an endpoint have ended when others may use it in
      // another group.
      membership =
          new MembershipView(
              operator.fleet().fencingTime(),
              operator.fleet().assignmentLifetime().minus(values.longestTimeout()));
      endpointList.setMembershipView(membership, clock::now);
    }
    discoveryWatch =
        new DiscoveryWatch(outboundBootstrap, startFile.discovery(), iteration, endpointList, core);
    endpointList.setClockOffset(iteration.clockOffset());
    executor.onClockOffsetChanged(endpointList::publishStartTimes);
    clientSessions.start(core, executor);
    executor.setCore(core, discoveryWatch::start);
    scheduleRepeatedly(SWEEP_INTERVAL, "sweeping clients", this::sweep);
    scheduleRepeatedly(
        TABLE_READ_INTERVAL, "querying switchover tables", this::querySwitchoverTables);
    scheduleRepeatedly(REPORT_INTERVAL, "reporting counters", this::report);
  }

  /**
   * Scheduled through a task, because what is added while after-iteration tasks run would run in
   * the same iteration.
   */
  private void runAfterNextSelect(Runnable task) {
    loop.executeAfterEventLoopIteration(() -> loop.execute(task));
  }

  /** Catches faults: a scheduled task that throws would not run again. */
  private void scheduleRepeatedly(Span period, String description, Runnable step) {
    loop.scheduleWithFixedDelay(
        () -> {
          try {
            step.run();
          } catch (RuntimeException fault) {
            Event.FAULT.logError(LOG, "", fault, description);
          }
        },
        period.micros(),
        period.micros(),
        TimeUnit.MICROSECONDS);
  }

  private void sweep() {
    Moment now = iteration.clock().now();
    trace.logLoopDelay(now.since(lastSweepAt).minus(SWEEP_INTERVAL));
    lastSweepAt = now;
    clientSessions.sweep();
    if (acceptHandler != null) {
      acceptHandler.sweep(now);
    }
  }

  private void report() {
    iteration.counters().add(Counter.LISTEN_OVERFLOWS, listenQueue.newOverflows());
    iteration.counters().logChanges();
    descriptors.report();
    core.reportPolledGroups();
  }

  /**
   * Queries the table of each endpoint in use in every third round. All endpoints of a group report
   * the same, so a group is queried about once per second.
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

  /**
   * Applies the operator's limits of held writes and the switchover table; null if there is no
   * file.
   */
  private void applyOperatorFile(OperatorFile operatorFile) {
    if (operatorFile != null) {
      executor.setSwitchoverTable(operatorFile.switchoverTable());
      holdBudget.setLimits(
          operatorFile.maxHeldStatements() > 0
              ? operatorFile.maxHeldStatements()
              : Math.max(1, startFile.startValues().maxOpenStatements() / 2),
          operatorFile.maxHeldBytes());
    }
  }

  private void restore(StateRestore restoredState) {
    endpointList.restoreFrom(restoredState, executor::excludeFromStartup);
    iteration.enqueue(
        now -> {
          try {
            if (startFile.hasStoredEndpointList()) {
              endpointList.applyUpdate(
                  now, EndpointUpdate.parse(startFile.takeStoredEndpointList()), false);
              return;
            }
          } catch (InvalidEndpointListException fault) {
            Event.KNOWN_LEFT_OUT.log(LOG, Level.WARN, "", fault.getMessage());
          }
          endpointList.publishRestored(now);
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
        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, CLIENT_WRITE_LIMITS)
        .handler(acceptHandler)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(
                        new ClientChannel(
                            clientSessions.admit(
                                acceptHandler.queuedSince(), acceptHandler.silentSince())));
              }
            })
        .bind(startFile.listen());
  }

  private void removePool(String endpoint) {
    ConnectionPool pool = pools.remove(endpoint);
    if (pool != null) {
      pool.closeIdle();
    }
  }

  /**
   * Returns the number of open descriptors, or an estimate for a Java runtime if it cannot be read.
   */
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

  /**
   * Continues to serve while clients may still connect, then answers the accepted statements and
   * stops.
   */
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
      clientSessions.setShutdownDeadline(iteration.clock().now().plus(remaining));
      // Connections that the system defers are accepted before the listener closes, where time
      // allows.
      Span listenTime =
          acceptHandler
              .endDeferral()
              .shorter(remaining.minus(MIN_LISTEN_TIME))
              .longer(MIN_LISTEN_TIME);
      loop.schedule(
          () ->
              acceptHandler.closeWhenQueueIsEmpty(
                  () -> {
                    clientSessions.closeIdleClients();
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
   * Shuts down after a failed start. No statement is open, and a termination signal at this point
   * has nothing to wait for.
   */
  private void shutDownUnserved() {
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    stopped.countDown();
  }

  private void stopOnceAnswered() {
    if (clientSessions.isEmpty() && executor.openStatements() == 0) {
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
    clientSessions.refuseAllStatements();
    iteration.enqueue(executor::answerAll);
    iteration.enqueue(
        now ->
            iteration.addEffect(
                () -> {
                  if (listener != null) {
                    listener.close();
                  }
                  clientSessions.endAllImmediately();
                }));
    if (snapshotWriter != null && core != null) {
      iteration.enqueue(
          now -> {
            List<StoredEndpoint> endpoints = new ArrayList<>();
            exportEndpoints(now, 0, Integer.MAX_VALUE / 2, endpoints);
            snapshotWriter.close(learnedState(endpoints));
            iteration.addEffect(() -> endOnceClientsLeft(Moment.NEVER));
          });
    } else {
      iteration.enqueue(now -> iteration.addEffect(() -> endOnceClientsLeft(Moment.NEVER)));
    }
  }

  /**
   * Waits until clients have received their last answers: a process that ends with unread bytes
   * resets its connections, which discards answers in transit.
   */
  private void endOnceClientsLeft(Moment deadline) {
    Moment now = iteration.clock().now();
    Moment latestEnd = deadline.earlier(now.plus(ANSWER_MARGIN.minus(EXIT_MARGIN)));
    if (clientSessions.isEmpty() || !now.isBefore(latestEnd)) {
      shutDown();
    } else {
      loop.schedule(
          () -> endOnceClientsLeft(latestEnd), RECHECK_INTERVAL.micros(), TimeUnit.MICROSECONDS);
    }
  }

  private void shutDown() {
    if (fleet != null) {
      Thread leaveThread = new Thread(fleet::close, "fleet-leave");
      leaveThread.setDaemon(true);
      leaveThread.start();
    }
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    stopped.countDown();
  }

  /**
   * Returns the listening address, with the port chosen by the system if the start file gives 0.
   */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /**
   * Returns the number of buffers that a stopped router has not released; zero unless there is a
   * leak.
   */
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
