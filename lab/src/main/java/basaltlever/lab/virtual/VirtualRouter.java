package basaltlever.lab.virtual;

import basaltlever.config.StartValues;
import basaltlever.core.Effects;
import basaltlever.core.StatementRouter;
import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.gateway.RejectReason;
import basaltlever.gateway.Role;
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
  private final SimulatedCluster world;
  private final SplittableRandom chance;
  private final Map<String, Server> servers = new HashMap<>();
  private final Map<Long, PendingStatement> statements = new HashMap<>();
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
    final Statement ask;
    final StatementTransport.ResponseListener callback;
    final Moment deadline;
    final List<Attempt> attempts = new ArrayList<>(1);
    int openAttempts;
    boolean answered;
    boolean answerDropped;

    PendingStatement(Statement ask, StatementTransport.ResponseListener callback, Moment deadline) {
      this.ask = ask;
      this.callback = callback;
      this.deadline = deadline;
    }
  }

  /** An attempt of a statement on one server. */
  private static final class Attempt {
    boolean ended;
    Runnable cancelOnServer = () -> {};
  }

  VirtualRouter(
      int number, SimulatedCluster world, StartValues values, boolean readsAnnouncements, Bug bug) {
    this.bug = bug;
    this.number = number;
    this.world = world;
    chance = world.random.split();
    world.servers().forEach(server -> servers.put(server.id, server));
    core = new StatementRouter<>(this, values.loadBalancerFactory(chance.nextLong(), world.now()));
    world.addListChangeListener(
        () -> world.scheduler().runAfter(networkDelay().times(20), this::deliverEndpointList));
    processInput(() -> core.onTimerFired(world.now()));
    if (readsAnnouncements) {
      world
          .scheduler()
          .runAfter(ANNOUNCEMENT_READ_INTERVAL.times(chance.nextDouble()), this::readAnnouncements);
    }
  }

  /** Applies other settings, as a reload does. */
  void applySettings(StartValues values, boolean forbidsDuplicates) {
    duplicatesForbidden = forbidsDuplicates;
    for (Map.Entry<Long, PendingStatement> entry : Map.copyOf(statements).entrySet()) {
      PendingStatement statement = entry.getValue();
      statement.answerDropped |= bug == Bug.SWITCH_FORGETS;
      for (int i = 0; bug == Bug.SWITCH_REPEATS && i < statement.attempts.size(); i++) {
        endAttempt(
            entry.getKey(),
            statement,
            statement.attempts.get(i),
            i,
            AttemptOutcome.NO_CONNECTION,
            Role.UNKNOWN,
            Moment.LONG_AGO,
            null);
      }
    }
    processInput(() -> core.applySettings(world.now(), values.settingsUpdate(world.now())));
  }

  private Span networkDelay() {
    return Span.ofMillis(0.15 + 0.3 * chance.nextDouble());
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
          Moment now = world.now();
          core.onListStarted();
          for (Server server : world.servers()) {
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

  void onStatementReceived(Statement ask, StatementTransport.ResponseListener callback) {
    long ticket = ++lastTicket;
    statements.put(ticket, new PendingStatement(ask, callback, ask.deadline));
    processInput(
        () ->
            core.onStatementReceived(
                world.now(),
                ticket,
                new StatementRequest(
                    ask.workload.index(),
                    ask.group,
                    ask.session + 1,
                    ask.deadline,
                    ask.requiredCommitMillis == 0
                        ? Moment.LONG_AGO
                        : new Moment(ask.requiredCommitMillis * 1_000),
                    100)));
  }

  void onClientDisconnected(Statement ask) {
    for (Map.Entry<Long, PendingStatement> entry : Map.copyOf(statements).entrySet()) {
      if (entry.getValue().ask == ask) {
        entry.getValue().answered = true;
        processInput(() -> core.onClientDisconnected(world.now(), entry.getKey()));
        removeIfFinished(entry.getKey(), entry.getValue());
      }
    }
  }

  private void removeIfFinished(long ticket, PendingStatement statement) {
    if (statement.answered && statement.openAttempts == 0) {
      statements.remove(ticket);
    }
  }

  private void deliverAnswer(
      long ticket, java.util.function.Consumer<StatementTransport.ResponseListener> delivery) {
    PendingStatement statement = statements.get(ticket);
    if (statement != null && !statement.answered) {
      statement.answered = true;
      world
          .scheduler()
          .runAfter(
              networkDelay(),
              () -> {
                if (statement.answerDropped
                    || statement.ask.isAbandoned()
                    || (++answerCount % 100 == 0 && bug == Bug.DROPS_ANSWERS)) {
                  return;
                }
                delivery.accept(statement.callback);
                if (answerCount % 100 == 0 && bug == Bug.ANSWERS_TWICE) {
                  delivery.accept(statement.callback);
                }
              });
      removeIfFinished(ticket, statement);
    }
  }

  // Effects.

  @Override
  public void startAttempt(
      long ticket, int attemptNumber, String endpoint, Span timeout, Moment sendBy) {
    PendingStatement statement = statements.get(ticket);
    Attempt attempt = new Attempt();
    statement.attempts.add(attempt);
    statement.openAttempts++;
    if (duplicatesForbidden && statement.openAttempts > 1) {
      world.checker.onParallelAttempt(statement.ask);
    }
    Server server = servers.get(endpoint);
    Span remaining = statement.deadline.since(world.now());
    Span limit = timeout.micros() == 0 ? remaining : timeout.shorter(remaining);
    pendingEffects.add(
        () -> {
          if (statement.answered || limit.micros() <= 0) {
            endAttempt(
                ticket,
                statement,
                attempt,
                attemptNumber,
                AttemptOutcome.NEVER_SENT,
                Role.UNKNOWN,
                Moment.LONG_AGO,
                null);
            return;
          }
          world
              .scheduler()
              .runAfter(
                  limit,
                  () -> {
                    attempt.cancelOnServer.run();
                    endAttempt(
                        ticket,
                        statement,
                        attempt,
                        attemptNumber,
                        AttemptOutcome.TIMED_OUT,
                        Role.UNKNOWN,
                        Moment.LONG_AGO,
                        null);
                  });
          world
              .scheduler()
              .runAfter(
                  networkDelay().plus(CONNECT_TIME),
                  () -> executeOnServer(ticket, statement, attempt, attemptNumber, server));
        });
  }

  private void executeOnServer(
      long ticket, PendingStatement statement, Attempt attempt, int attemptNumber, Server server) {
    if (attempt.ended || world.isCut(number, server)) {
      return;
    }
    if (!server.isUp() || (server.isRefusing() && chance.nextInt(4) == 0)) {
      // Most attempts on a server that refuses new connections use one that is already open.
      world
          .scheduler()
          .runAfter(
              networkDelay(),
              () ->
                  endAttempt(
                      ticket,
                      statement,
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
            statement.ask,
            new Server.Reply() {
              @Override
              public void sendAnswer(String code, String value, boolean primary, long position) {
                if (!world.isCut(number, server)) {
                  AttemptOutcome outcome =
                      code == null
                          ? value == null ? AttemptOutcome.UNKNOWN : AttemptOutcome.COMPLETED
                          : code.equals("53300") ? AttemptOutcome.FULL : AttemptOutcome.MISS;
                  world
                      .scheduler()
                      .runAfter(
                          networkDelay(),
                          () ->
                              endAttempt(
                                  ticket,
                                  statement,
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
                world
                    .scheduler()
                    .runAfter(
                        networkDelay(),
                        () ->
                            endAttempt(
                                ticket,
                                statement,
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
              world
                  .scheduler()
                  .runAfter(
                      networkDelay(),
                      () ->
                          endAttempt(
                              ticket,
                              statement,
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
      PendingStatement statement,
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
    statement.openAttempts--;
    AttemptOutcome reportedOutcome =
        outcome == AttemptOutcome.RESET && bug == Bug.RESET_PROVES_NOT_RUN
            ? AttemptOutcome.NEVER_SENT
            : outcome;
    processInput(
        () -> {
          if (core.onAttemptEnded(
              world.now(), ticket, attemptNumber, reportedOutcome, role, position, false)) {
            deliverAnswer(ticket, callback -> callback.onCompleted(value));
          }
        });
    removeIfFinished(ticket, statement);
  }

  @Override
  public void cancel(long ticket, int attemptNumber) {
    PendingStatement statement = statements.get(ticket);
    Attempt attempt = statement.attempts.get(attemptNumber);
    pendingEffects.add(
        () -> {
          attempt.cancelOnServer.run();
          endAttempt(
              ticket,
              statement,
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
    pendingEffects.add(() -> deliverAnswer(ticket, callback -> callback.onRejected(retryAfter)));
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
    world
        .scheduler()
        .runAfter(
            POLL_TIMEOUT,
            () ->
                endPoll(
                    ended, endpoint, AttemptOutcome.TIMED_OUT, Role.UNKNOWN, Moment.LONG_AGO, 0));
    world
        .scheduler()
        .runAfter(
            networkDelay(),
            () -> {
              if (world.isCut(number, server) || server.isHung()) {
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
                      ? world.now()
                      : new Moment((long) (server.positionSeconds(world.now()) * 1e6) - 1);
              double utilization = server.utilization();
              world
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
    for (Server server : world.servers()) {
      if ((server.number + announcementReads) % 3 == 0
          && server.isUp()
          && !server.isHung()
          && !world.isCut(number, server)) {
        SwitchoverAnnouncement announcement = server.group().announcement();
        if (announcement != null) {
          processInput(
              () ->
                  core.onSwitchoverAnnounced(
                      world.now(),
                      server.id,
                      announcement.number(),
                      announcement.target(),
                      new Moment(announcement.atMillis() * 1_000),
                      announcement.cancelled()));
        }
      }
    }
    announcementReads++;
    world.scheduler().runAfter(ANNOUNCEMENT_READ_INTERVAL, this::readAnnouncements);
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
                  world.now(), endpoint, outcome, role, position, utilization, Double.NaN));
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
    world.scheduler().runAfter(networkDelay().times(4), this::deliverEndpointList);
  }

  @Override
  public void setTimer(Span delay) {
    world
        .scheduler()
        .runAfter(
            delay.longer(new Span(1)), () -> processInput(() -> core.onTimerFired(world.now())));
  }

  @Override
  public void openConnections(String endpoint, int connections) {
    // Connections are not simulated.
  }

  @Override
  public void onSwitchoverPhaseChanged(int group, PlannedSwitchover.Phase phase, String target) {
    // The world records changes of the primary itself.
  }

  @Override
  public void onPrimaryChanged(int group, String endpoint, boolean found) {
    // The world records changes of the primary itself.
  }
}
