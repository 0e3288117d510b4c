package basaltlever.lab.virtual;

import basaltlever.config.StartValues;
import basaltlever.core.Effects;
import basaltlever.core.StatementRouter;
import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.gateway.RejectReason;
import basaltlever.gateway.Role;
import basaltlever.gateway.Settings;
import basaltlever.gateway.StatementRequest;
import basaltlever.lab.load.StatementTransport;
import basaltlever.lab.world.Server;
import basaltlever.lab.world.SimulatedCluster;
import basaltlever.lab.world.Statement;
import basaltlever.switchover.PlannedSwitchover;
import basaltlever.switchover.SwitchoverAnnouncement;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A router without sockets: the core of the real router, connected to the simulated servers by a
 * network of short delays in virtual time.
 */
final class VirtualRouter implements Effects<String> {
  private static final Span CONNECT_TIME = Span.ofMillis(0.4);
  private static final Span ANNOUNCEMENT_READ_INTERVAL = Span.ofMillis(1_000);
  private static final Span POLL_TIMEOUT = Span.ofMillis(250);
  private final int number;
  private final SimulatedCluster cluster;
  private final SplittableRandom random;
  private final Map<String, Server> servers = new HashMap<>();
  private final Map<Long, PendingStatement> pendingStatements = new HashMap<>();
  private final Bug bug;

  /** Servers that have once claimed to be primary, for {@link Bug#OLD_PRIMARY_CLAIMS}. */
  private final java.util.Set<String> formerPrimaries = new java.util.HashSet<>();

  /** Whether the settings in force allow only one open attempt per statement. */
  private boolean duplicatesForbidden;

  private int answerCount;
  private int announcementReads;
  private final StatementRouter<String> core;
  private long lastTicket;

  /** Effects requested by the core. They run after the core has returned, as on sockets. */
  private final List<Runnable> pendingEffects = new ArrayList<>();

  /** A statement without a final response, or with attempts that have not ended. */
  private static final class PendingStatement {
    final Statement statement;
    final StatementTransport.ResponseListener listener;
    final Moment deadline;
    final List<Attempt> attempts = new ArrayList<>(1);
    int openAttempts;
    boolean answered;
    boolean answerDropped;

    PendingStatement(
        Statement statement, StatementTransport.ResponseListener listener, Moment deadline) {
      this.statement = statement;
      this.listener = listener;
      this.deadline = deadline;
    }
  }

  /** An attempt of a statement on one server. */
  private static final class Attempt {
    boolean ended;
    Runnable cancelOnServer = () -> {};
  }

  VirtualRouter(
      int number,
      SimulatedCluster cluster,
      StartValues values,
      boolean readsAnnouncements,
      Bug bug) {
    this.bug = bug;
    this.number = number;
    this.cluster = cluster;
    random = cluster.random.split();
    cluster.servers().forEach(server -> servers.put(server.id, server));
    core =
        new StatementRouter<>(this, values.loadBalancerFactory(random.nextLong(), cluster.now()));
    cluster.addListChangeListener(
        () -> cluster.scheduler().runAfter(networkDelay().times(20), this::deliverEndpointList));
    processInput(() -> core.onTimerFired(cluster.now()));
    if (readsAnnouncements) {
      cluster
          .scheduler()
          .runAfter(ANNOUNCEMENT_READ_INTERVAL.times(random.nextDouble()), this::readAnnouncements);
    }
  }

  /** Applies other settings, as a reload does. */
  void applySettings(StartValues values, boolean forbidsDuplicates) {
    duplicatesForbidden = forbidsDuplicates;
    for (Map.Entry<Long, PendingStatement> entry : Map.copyOf(pendingStatements).entrySet()) {
      PendingStatement pending = entry.getValue();
      pending.answerDropped |= bug == Bug.SWITCH_FORGETS;
      for (int i = 0; bug == Bug.SWITCH_REPEATS && i < pending.attempts.size(); i++) {
        endAttempt(
            entry.getKey(),
            pending,
            pending.attempts.get(i),
            i,
            AttemptOutcome.NO_CONNECTION,
            Role.UNKNOWN,
            Moment.LONG_AGO,
            null);
      }
    }
    processInput(() -> core.applySettings(cluster.now(), values.settingsUpdate(cluster.now())));
  }

  /** Applies the settings that a fleet's router complies with. */
  void applyVersions(Settings effective) {
    processInput(
        () ->
            core.applySettings(
                cluster.now(), balancer -> balancer.applySettings(cluster.now(), effective)));
  }

  private Span networkDelay() {
    return Span.ofMillis(0.15 + 0.3 * random.nextDouble());
  }

  /** Passes an input to the core and runs the effects that it requests. */
  private void processInput(Runnable input) {
    input.run();
    while (!pendingEffects.isEmpty()) {
      List<Runnable> effects = new ArrayList<>(pendingEffects);
      pendingEffects.clear();
      effects.forEach(Runnable::run);
    }
  }

  private void deliverEndpointList() {
    processInput(
        () -> {
          Moment now = cluster.now();
          core.onListStarted();
          for (Server server : cluster.servers()) {
            server.onListReceived(number, now);
            core.onEndpointListed(
                now,
                server.id,
                server.listedState().equals("in_service") || bug == Bug.IGNORES_DRAINS
                    ? EndpointLifecycle.READY
                    : EndpointLifecycle.DRAINING,
                server.group().number,
                0,
                1,
                server.startedAtMillis() == 0
                    ? Moment.LONG_AGO
                    : new Moment(server.startedAtMillis() * 1_000));
          }
          core.onListFinished(now, true, true);
        });
  }

  // Clients.

  void onStatementReceived(Statement statement, StatementTransport.ResponseListener listener) {
    long ticket = ++lastTicket;
    pendingStatements.put(ticket, new PendingStatement(statement, listener, statement.deadline));
    processInput(
        () ->
            core.onStatementReceived(
                cluster.now(),
                ticket,
                new StatementRequest(
                    statement.workload.index(),
                    statement.group,
                    statement.session + 1,
                    statement.deadline,
                    statement.requiredCommitMillis == 0
                        ? Moment.LONG_AGO
                        : new Moment(statement.requiredCommitMillis * 1_000),
                    100)));
  }

  void onClientDisconnected(Statement statement) {
    for (Map.Entry<Long, PendingStatement> entry : Map.copyOf(pendingStatements).entrySet()) {
      if (entry.getValue().statement == statement) {
        entry.getValue().answered = true;
        processInput(() -> core.onClientDisconnected(cluster.now(), entry.getKey()));
        removeIfFinished(entry.getKey(), entry.getValue());
      }
    }
  }

  private void removeIfFinished(long ticket, PendingStatement pending) {
    if (pending.answered && pending.openAttempts == 0) {
      pendingStatements.remove(ticket);
    }
  }

  private void deliverAnswer(
      long ticket, java.util.function.Consumer<StatementTransport.ResponseListener> delivery) {
    PendingStatement pending = pendingStatements.get(ticket);
    if (pending != null && !pending.answered) {
      pending.answered = true;
      cluster
          .scheduler()
          .runAfter(
              networkDelay(),
              () -> {
                if (pending.answerDropped
                    || pending.statement.isAbandoned()
                    || (++answerCount % 100 == 0 && bug == Bug.DROPS_ANSWERS)) {
                  return;
                }
                delivery.accept(pending.listener);
                if (answerCount % 100 == 0 && bug == Bug.ANSWERS_TWICE) {
                  delivery.accept(pending.listener);
                }
              });
      removeIfFinished(ticket, pending);
    }
  }

  // Effects.

  @Override
  public void startAttempt(
      long ticket, int attemptNumber, String endpoint, Span timeout, Moment sendBy) {
    PendingStatement pending = pendingStatements.get(ticket);
    Attempt attempt = new Attempt();
    pending.attempts.add(attempt);
    pending.openAttempts++;
    if (duplicatesForbidden && pending.openAttempts > 1) {
      cluster.checker.onParallelAttempt(pending.statement);
    }
    Server server = servers.get(endpoint);
    Span remaining = pending.deadline.since(cluster.now());
    Span limit = timeout.micros() == 0 ? remaining : timeout.shorter(remaining);
    pendingEffects.add(
        () -> {
          boolean isTooLate = cluster.now().plus(CONNECT_TIME).isAfter(sendBy);
          if (pending.answered || limit.micros() <= 0 || isTooLate) {
            endAttempt(
                ticket,
                pending,
                attempt,
                attemptNumber,
                AttemptOutcome.NEVER_SENT,
                Role.UNKNOWN,
                Moment.LONG_AGO,
                null);
            return;
          }
          cluster
              .scheduler()
              .runAfter(
                  limit,
                  () -> {
                    attempt.cancelOnServer.run();
                    endAttempt(
                        ticket,
                        pending,
                        attempt,
                        attemptNumber,
                        AttemptOutcome.TIMED_OUT,
                        Role.UNKNOWN,
                        Moment.LONG_AGO,
                        null);
                  });
          Moment sentAt = cluster.now().plus(CONNECT_TIME);
          cluster
              .scheduler()
              .runAfter(
                  networkDelay().plus(CONNECT_TIME),
                  () -> executeOnServer(ticket, pending, attempt, attemptNumber, server, sentAt));
        });
  }

  private void executeOnServer(
      long ticket,
      PendingStatement pending,
      Attempt attempt,
      int attemptNumber,
      Server server,
      Moment sentAt) {
    if (attempt.ended || cluster.isCut(number, server)) {
      return;
    }
    if (!server.isUp() || (server.isRefusing() && random.nextInt(4) == 0)) {
      // Most attempts on a server that refuses new connections use one that is already open.
      cluster
          .scheduler()
          .runAfter(
              networkDelay(),
              () ->
                  endAttempt(
                      ticket,
                      pending,
                      attempt,
                      attemptNumber,
                      AttemptOutcome.NO_CONNECTION,
                      Role.UNKNOWN,
                      Moment.LONG_AGO,
                      null));
      return;
    }
    int initialLife = server.incarnation();
    attempt.cancelOnServer =
        server.execute(
            pending.statement,
            sentAt,
            new Server.Reply() {
              @Override
              public void sendAnswer(String code, String value, boolean primary, long position) {
                if (!cluster.isCut(number, server)) {
                  AttemptOutcome outcome =
                      code == null
                          ? value == null ? AttemptOutcome.UNKNOWN : AttemptOutcome.COMPLETED
                          : code.equals("53300") ? AttemptOutcome.FULL : AttemptOutcome.MISS;
                  cluster
                      .scheduler()
                      .runAfter(
                          networkDelay(),
                          () ->
                              endAttempt(
                                  ticket,
                                  pending,
                                  attempt,
                                  attemptNumber,
                                  outcome,
                                  primary || formerPrimaries.contains(server.id)
                                      ? Role.PRIMARY
                                      : Role.REPLICA,
                                  position == 0 ? Moment.LONG_AGO : new Moment(position * 1_000),
                                  value));
                }
              }

              @Override
              public void breakConnection() {
                cluster
                    .scheduler()
                    .runAfter(
                        networkDelay(),
                        () ->
                            endAttempt(
                                ticket,
                                pending,
                                attempt,
                                attemptNumber,
                                AttemptOutcome.RESET,
                                Role.UNKNOWN,
                                Moment.LONG_AGO,
                                null));
              }
            });
    server.addListener(
        new Server.Listener() {
          @Override
          public void onCrashed() {
            if (!attempt.ended && server.incarnation() == initialLife + 1) {
              cluster
                  .scheduler()
                  .runAfter(
                      networkDelay(),
                      () ->
                          endAttempt(
                              ticket,
                              pending,
                              attempt,
                              attemptNumber,
                              AttemptOutcome.RESET,
                              Role.UNKNOWN,
                              Moment.LONG_AGO,
                              null));
            }
          }

          @Override
          public boolean isFinished() {
            return attempt.ended;
          }
        });
  }

  private void endAttempt(
      long ticket,
      PendingStatement pending,
      Attempt attempt,
      int attemptNumber,
      AttemptOutcome outcome,
      Role role,
      Moment position,
      String value) {
    if (attempt.ended) {
      return;
    }
    attempt.ended = true;
    pending.openAttempts--;
    AttemptOutcome reportedOutcome =
        outcome == AttemptOutcome.RESET && bug == Bug.RESET_PROVES_NOT_RUN
            ? AttemptOutcome.NEVER_SENT
            : outcome;
    processInput(
        () -> {
          if (core.onAttemptEnded(
              cluster.now(), ticket, attemptNumber, reportedOutcome, role, position, false)) {
            deliverAnswer(ticket, listener -> listener.onCompleted(value));
          }
        });
    removeIfFinished(ticket, pending);
  }

  @Override
  public void cancel(long ticket, int attemptNumber) {
    PendingStatement pending = pendingStatements.get(ticket);
    Attempt attempt = pending.attempts.get(attemptNumber);
    pendingEffects.add(
        () -> {
          attempt.cancelOnServer.run();
          endAttempt(
              ticket,
              pending,
              attempt,
              attemptNumber,
              AttemptOutcome.CANCELLED,
              Role.UNKNOWN,
              Moment.LONG_AGO,
              null);
        });
  }

  @Override
  public void reject(long ticket, Span retryAfter, RejectReason reason) {
    pendingEffects.add(() -> deliverAnswer(ticket, listener -> listener.onRejected(retryAfter)));
  }

  @Override
  public void abort(long ticket) {
    pendingEffects.add(() -> deliverAnswer(ticket, StatementTransport.ResponseListener::onAborted));
  }

  @Override
  public void poll(String endpoint) {
    Server server = servers.get(endpoint);
    pollCount++;
    boolean[] ended = new boolean[1];
    cluster
        .scheduler()
        .runAfter(
            POLL_TIMEOUT,
            () ->
                endPoll(
                    ended, endpoint, AttemptOutcome.TIMED_OUT, Role.UNKNOWN, Moment.LONG_AGO, 0));
    cluster
        .scheduler()
        .runAfter(
            networkDelay(),
            () -> {
              if (cluster.isCut(number, server) || server.isHung()) {
                return;
              }
              boolean up = server.isUp();
              if (server.claimsPrimary() && bug == Bug.OLD_PRIMARY_CLAIMS) {
                formerPrimaries.add(server.id);
              }
              boolean wasPrimary = formerPrimaries.contains(server.id);
              Role role = server.claimsPrimary() || wasPrimary ? Role.PRIMARY : Role.REPLICA;
              Moment position =
                  wasPrimary
                      ? cluster.now()
                      : new Moment((long) (server.positionSeconds(cluster.now()) * 1e6) - 1);
              double utilization = server.utilization();
              cluster
                  .scheduler()
                  .runAfter(
                      networkDelay(),
                      () -> {
                        endPoll(
                            ended,
                            endpoint,
                            up ? AttemptOutcome.COMPLETED : AttemptOutcome.NO_CONNECTION,
                            up ? role : Role.UNKNOWN,
                            up ? position : Moment.LONG_AGO,
                            utilization);
                      });
            });
  }

  /** Reads a third of the announcement tables, so that each is read within 3 s, as on sockets. */
  private void readAnnouncements() {
    for (Server server : cluster.servers()) {
      if ((server.number + announcementReads) % 3 == 0
          && server.isUp()
          && !server.isHung()
          && !cluster.isCut(number, server)) {
        SwitchoverAnnouncement announcement = server.group().announcement();
        if (announcement != null) {
          processInput(
              () ->
                  core.onSwitchoverAnnounced(
                      cluster.now(),
                      server.id,
                      announcement.number(),
                      announcement.target(),
                      new Moment(announcement.atMillis() * 1_000),
                      announcement.cancelled()));
        }
      }
    }
    announcementReads++;
    cluster.scheduler().runAfter(ANNOUNCEMENT_READ_INTERVAL, this::readAnnouncements);
  }

  private void endPoll(
      boolean[] ended,
      String endpoint,
      AttemptOutcome outcome,
      Role role,
      Moment position,
      double utilization) {
    if (!ended[0]) {
      ended[0] = true;
      processInput(
          () ->
              core.onPollEnded(
                  cluster.now(), endpoint, outcome, role, position, utilization, Double.NaN));
    }
  }

  private long pollCount;

  long pollCount() {
    return pollCount;
  }

  @Override
  public void closeIdleConnections(String endpoint) {
    // Connections are not simulated.
  }

  @Override
  public void onEndpointRemoved(String endpoint) {
    // The ids of servers stay valid.
  }

  @Override
  public void watchEndpointList() {
    cluster.scheduler().runAfter(networkDelay().times(4), this::deliverEndpointList);
  }

  @Override
  public void setTimer(Span delay) {
    cluster
        .scheduler()
        .runAfter(
            delay.longer(new Span(1)), () -> processInput(() -> core.onTimerFired(cluster.now())));
  }

  @Override
  public void openConnections(String endpoint, int connections) {
    // Connections are not simulated.
  }

  @Override
  public void onSwitchoverPhaseChanged(int group, PlannedSwitchover.Phase phase, String target) {
    // The simulated cluster records changes of the primary itself.
  }

  @Override
  public void onPrimaryChanged(int group, String endpoint, boolean found) {
    // The simulated cluster records changes of the primary itself.
  }
}
