package basaltlever.settings;

import basaltlever.core.Effects;
import basaltlever.core.StatementRouter;
import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.gateway.RejectReason;
import basaltlever.gateway.Role;
import basaltlever.gateway.Settings;
import basaltlever.gateway.StatementRequest;
import basaltlever.settings.VersionJudge.Execution;
import basaltlever.switchover.PlannedSwitchover;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * One router among simulated servers in virtual time, while a version is prepared, and then comes
 * into force or is withdrawn. Each statement is judged by the versions that bind its router when it
 * arrives.
 */
final class VersionChangeWorld implements Effects<Integer> {
  private static final Span STEP = Span.ofMillis(5);
  private static final Span PHASE = Span.ofMillis(1_200);
  private static final int SERVER_COUNT = 4;
  private static final int PRIMARY = 0;
  private static final int SESSION_COUNT = 3;
  private static final int[] LAGS_MILLIS = {10, 40, 200, 600, 1_500};

  private static final class Server {
    final int zone;
    Moment position;
    Span lag = Span.ofMillis(10);
    EndpointLifecycle lifecycle = EndpointLifecycle.READY;
    boolean hasDrained;

    Server(int zone, Moment now) {
      this.zone = zone;
      position = now;
    }
  }

  private static final class OpenStatement {
    final int statementClass;
    final long session;
    final Moment deadline;
    final Moment lastSessionWrite;
    final List<VersionJudge> judges;
    final List<Execution> executions = new ArrayList<>();
    final Set<Integer> ended = new HashSet<>();
    int attempts;
    int inFlight;
    boolean answered;

    OpenStatement(
        int statementClass,
        long session,
        Moment deadline,
        Moment lastSessionWrite,
        List<VersionJudge> judges) {
      this.statementClass = statementClass;
      this.session = session;
      this.deadline = deadline;
      this.lastSessionWrite = lastSessionWrite;
      this.judges = judges;
    }

    boolean isWrite() {
      return statementClass == VersionText.WRITE;
    }
  }

  private record ScheduledAction(Moment at, long order, Runnable action) {}

  private final SplittableRandom random;
  private final StatementRouter<Integer> router;
  private final VersionText older;
  private final VersionText newer;
  private final VersionJudge olderJudge;
  private final VersionJudge newerJudge;

  /** The version by which servers check reads while both bind. */
  private final boolean serversUseOlder;

  private final List<Server> servers = new ArrayList<>();
  private final Map<Long, OpenStatement> statements = new HashMap<>();
  private final Map<Long, Moment> lastWrites = new HashMap<>();
  private final List<Runnable> effects = new ArrayList<>();
  private final PriorityQueue<ScheduledAction> schedule =
      new PriorityQueue<>(
          Comparator.comparing((ScheduledAction scheduled) -> scheduled.at.micros())
              .thenComparing(ScheduledAction::order));
  private Moment now = new Moment(1_000_000_000);
  private Moment timerAt = Moment.NEVER;
  private Moment listLostAt = Moment.NEVER;
  private long sequence;

  /** The versions that bind the router now. */
  private List<VersionJudge> binding;

  private Moment bindingSince = now;

  /** Changes with the settings: what was decided before is not sent, but decided again. */
  private int fencingToken;

  VersionChangeWorld(VersionText older, VersionText newer, long seed) {
    this.older = older;
    this.newer = newer;
    random = new SplittableRandom(seed);
    olderJudge = new VersionJudge(older);
    newerJudge = new VersionJudge(newer);
    binding = List.of(olderJudge);
    serversUseOlder = random.nextBoolean();
    for (int i = 0; i < SERVER_COUNT; i++) {
      servers.add(new Server(i % 2, now));
    }
    router =
        new StatementRouter<>(
            this, older.startValues().loadBalancerFactory(random.nextLong(), now));
    deliverList();
  }

  /** Plays all phases; returns the violations of the first version that sees any. */
  List<String> play(Settings combined) {
    runFor(PHASE);
    apply(combined, List.of(olderJudge, newerJudge));
    olderJudge.onSettingsOfConnections(combined);
    newerJudge.onSettingsOfConnections(combined);
    runFor(PHASE);
    boolean isWithdrawn = random.nextBoolean();
    VersionText end = isWithdrawn ? older : newer;
    apply(end.startValues().settings(), List.of(isWithdrawn ? olderJudge : newerJudge));
    runFor(PHASE);
    return olderJudge.violations().isEmpty() ? newerJudge.violations() : olderJudge.violations();
  }

  private void apply(Settings settings, List<VersionJudge> judges) {
    binding = judges;
    bindingSince = now;
    fencingToken++;
    input(() -> router.applySettings(now, balancer -> balancer.applySettings(now, settings)));
  }

  private void runFor(Span duration) {
    for (Moment end = now.plus(duration); now.isBefore(end); ) {
      Moment next = now.plus(STEP);
      runScheduled(next);
      now = next;
      moveServers();
      if (random.nextInt(60) == 0 && listLostAt.equals(Moment.NEVER)) {
        changeList();
      }
      if (random.nextInt(50) == 0) {
        breakListWatch();
      }
      for (int count = random.nextInt(3); count > 0; count--) {
        receiveStatement();
      }
      judgeOpenStatements();
      judgeListAge();
    }
  }

  private void runScheduled(Moment until) {
    while (true) {
      boolean actionFirst = !schedule.isEmpty() && !schedule.peek().at.isAfter(timerAt);
      Moment dueAt = actionFirst ? schedule.peek().at : timerAt;
      if (dueAt.isAfter(until)) {
        return;
      }
      now = now.later(dueAt);
      if (actionFirst) {
        schedule.poll().action.run();
      } else {
        timerAt = Moment.NEVER;
        input(() -> router.onTimerFired(now));
      }
    }
  }

  private void after(Span delay, Runnable action) {
    schedule.add(new ScheduledAction(now.plus(delay), sequence++, action));
  }

  /** Passes an input to the router and then carries out what it decided. */
  private void input(Runnable input) {
    input.run();
    while (!effects.isEmpty()) {
      List<Runnable> decided = new ArrayList<>(effects);
      effects.clear();
      decided.forEach(Runnable::run);
    }
  }

  private Span millis(int from, int to) {
    return Span.ofMillis(from + random.nextInt(to - from));
  }

  // ---- Servers and discovery

  private void moveServers() {
    for (int i = 0; i < SERVER_COUNT; i++) {
      Server server = servers.get(i);
      if (random.nextInt(80) == 0) {
        server.lag = Span.ofMillis(LAGS_MILLIS[random.nextInt(LAGS_MILLIS.length)]);
      }
      server.position = i == PRIMARY ? now : server.position.later(now.minus(server.lag));
    }
  }

  private Moment positionOf(int server) {
    return server == PRIMARY ? now : servers.get(server).position;
  }

  private void changeList() {
    Server server = servers.get(random.nextInt(SERVER_COUNT));
    EndpointLifecycle[] lifecycles = EndpointLifecycle.values();
    server.lifecycle =
        random.nextBoolean()
            ? EndpointLifecycle.READY
            : lifecycles[random.nextInt(lifecycles.length)];
    server.hasDrained =
        server.lifecycle == EndpointLifecycle.DRAINING
            || (server.lifecycle == EndpointLifecycle.GONE && server.hasDrained);
    deliverList();
  }

  private void deliverList() {
    listLostAt = Moment.NEVER;
    input(
        () -> {
          router.onListStarted();
          for (int i = 0; i < SERVER_COUNT; i++) {
            Server server = servers.get(i);
            if (server.lifecycle != EndpointLifecycle.GONE) {
              router.onEndpointListed(now, i, server.lifecycle, 1, server.zone, 1, Moment.LONG_AGO);
            }
          }
          router.onListFinished(now, true, true);
        });
  }

  /** The watch of the list breaks; no change of it is received until it is asked for again. */
  private void breakListWatch() {
    if (listLostAt.equals(Moment.NEVER)) {
      listLostAt = now;
      input(() -> router.onListCallFailed(now));
    }
  }

  @Override
  public void watchEndpointList() {
    judgeListAge();
    listLostAt = listLostAt.equals(Moment.NEVER) ? listLostAt : now;
    boolean isAnswered = random.nextInt(3) == 0;
    boolean fails = random.nextBoolean();
    effects.add(
        () ->
            after(
                millis(1, 10),
                () -> {
                  if (isAnswered) {
                    deliverList();
                  } else if (fails) {
                    input(() -> router.onListCallFailed(now));
                  }
                }));
  }

  @Override
  public void poll(Integer server) {
    binding.forEach(VersionJudge::onPoll);
    effects.add(
        () ->
            after(
                millis(1, 6),
                () -> {
                  Role role = server == PRIMARY ? Role.PRIMARY : Role.REPLICA;
                  input(
                      () ->
                          router.onPollEnded(
                              now,
                              server,
                              AttemptOutcome.COMPLETED,
                              role,
                              positionOf(server),
                              0.3,
                              Double.NaN));
                }));
  }

  // ---- Statements

  private void receiveStatement() {
    int statementClass = random.nextInt(VersionText.CLASS_COUNT);
    long session = 1L + random.nextInt(SESSION_COUNT);
    Moment deadline = now.plus(millis(250, 900));
    Moment lastWrite = lastWrites.getOrDefault(session, Moment.LONG_AGO);
    OpenStatement statement =
        new OpenStatement(statementClass, session, deadline, lastWrite, binding);
    long ticket = sequence++;
    statements.put(ticket, statement);
    boolean carriesMark =
        older.value("FamilyInfo.SessionMarks").equals("carried")
            && newer.value("FamilyInfo.SessionMarks").equals("carried");
    // Where the versions differ, or none says so, clients need not send it.
    Moment mark =
        carriesMark || (carriedByBinding() && random.nextBoolean()) ? lastWrite : Moment.LONG_AGO;
    input(
        () ->
            router.onStatementReceived(
                now,
                ticket,
                new StatementRequest(
                    statementClass, 1, session, deadline, carriedAlone() ? lastWrite : mark, 100)));
    after(
        deadline.since(now).plus(Span.ofMillis(1)),
        () -> {
          input(() -> router.onDeadlinePassed(now, ticket));
          statement.answered = true;
        });
  }

  private boolean carriedByBinding() {
    return binding.size() > 1;
  }

  /** Whether the only version that binds says that statements carry the mark. */
  private boolean carriedAlone() {
    VersionText only = binding.size() > 1 ? null : binding.get(0) == olderJudge ? older : newer;
    return only != null && only.value("FamilyInfo.SessionMarks").equals("carried");
  }

  private void judgeListAge() {
    if (!listLostAt.equals(Moment.NEVER)) {
      Span age = now.since(listLostAt.later(bindingSince));
      binding.forEach(judge -> judge.onListUnknownFor(age));
    }
  }

  private void judgeOpenStatements() {
    for (OpenStatement statement : statements.values()) {
      if (!statement.answered && statement.inFlight == 0) {
        binding.forEach(judge -> judge.onStatementWaits(now, bindingSince, statement.deadline));
      }
    }
    statements.values().removeIf(statement -> statement.answered && statement.inFlight == 0);
  }

  @Override
  public void startAttempt(long ticket, int attempt, Integer server, Span timeout, Moment sendBy) {
    OpenStatement statement = statements.get(ticket);
    statement.judges.forEach(judge -> judge.onAttemptOf(statement.attempts));
    binding.forEach(judge -> judge.onAttemptDecided(statement.inFlight, now, statement.deadline));
    judgeUseOf(servers.get(server));
    statement.attempts++;
    statement.inFlight++;
    Span connecting = random.nextInt(4) == 0 ? millis(20, 150) : millis(1, 3);
    boolean isSentInTime = !now.plus(connecting).isAfter(sendBy);
    int token = fencingToken;
    effects.add(
        () ->
            after(
                connecting,
                () -> {
                  if (isSentInTime && token == fencingToken) {
                    receiveAttempt(ticket, statement, attempt, server);
                  } else {
                    endAttempt(ticket, statement, attempt, server, AttemptOutcome.NEVER_SENT);
                  }
                }));
  }

  private void judgeUseOf(Server server) {
    if (server.hasDrained) {
      binding.forEach(VersionJudge::onUseOfDrainingServer);
    } else if (server.lifecycle == EndpointLifecycle.GONE) {
      binding.forEach(VersionJudge::onUseOfRemovedServer);
    }
  }

  /** A server receives an attempt: it refuses it, or executes it and perhaps answers. */
  private void receiveAttempt(long ticket, OpenStatement statement, int attempt, int server) {
    if (random.nextInt(20) == 0) {
      endAttempt(ticket, statement, attempt, server, AttemptOutcome.NO_CONNECTION);
      return;
    }
    if (isRefused(statement, server)) {
      after(
          millis(1, 5), () -> endAttempt(ticket, statement, attempt, server, AttemptOutcome.MISS));
      return;
    }
    Execution execution = new Execution(server, servers.get(server).zone, now);
    statement.judges.forEach(
        judge -> judge.onExecution(statement.statementClass, statement.executions, execution));
    statement.executions.add(execution);
    Moment position = positionOf(server);
    Moment receivedAt = now;
    AttemptOutcome outcome =
        random.nextInt(8) == 0 ? AttemptOutcome.RESET : AttemptOutcome.COMPLETED;
    after(
        random.nextInt(6) == 0 ? millis(50, 400) : millis(2, 10),
        () -> {
          boolean isAnswer = endAttempt(ticket, statement, attempt, server, outcome);
          if (isAnswer && !statement.isWrite()) {
            statement.judges.forEach(
                judge ->
                    judge.onReadAnswered(
                        statement.statementClass,
                        server == PRIMARY,
                        position,
                        receivedAt,
                        statement.lastSessionWrite));
          }
        });
  }

  private boolean isRefused(OpenStatement statement, int server) {
    if (statement.isWrite()) {
      return server != PRIMARY;
    }
    VersionJudge checking =
        binding.size() == 1 ? binding.get(0) : serversUseOlder ? olderJudge : newerJudge;
    return binding.stream().allMatch(VersionJudge::serversCheckReads)
        && !checking.isFreshEnough(
            statement.statementClass,
            server == PRIMARY,
            positionOf(server),
            now,
            statement.lastSessionWrite);
  }

  /** Returns whether the end of the attempt answers the statement. */
  private boolean endAttempt(
      long ticket, OpenStatement statement, int attempt, int server, AttemptOutcome outcome) {
    if (!statement.ended.add(attempt)) {
      return false;
    }
    statement.inFlight--;
    boolean responds = outcome == AttemptOutcome.COMPLETED || outcome == AttemptOutcome.MISS;
    Role role = !responds ? Role.UNKNOWN : server == PRIMARY ? Role.PRIMARY : Role.REPLICA;
    Moment position = responds ? positionOf(server) : Moment.LONG_AGO;
    boolean[] isAnswer = new boolean[1];
    input(
        () ->
            isAnswer[0] =
                router.onAttemptEnded(
                    now, ticket, attempt, outcome, role, position, statement.answered));
    if (isAnswer[0]) {
      statement.answered = true;
      if (statement.isWrite()) {
        lastWrites.merge(statement.session, now, Moment::later);
      }
    }
    return isAnswer[0];
  }

  @Override
  public void cancel(long ticket, int attempt) {
    binding.forEach(VersionJudge::onCancel);
    OpenStatement statement = statements.get(ticket);
    effects.add(() -> endAttempt(ticket, statement, attempt, PRIMARY, AttemptOutcome.CANCELLED));
  }

  @Override
  public void reject(long ticket, Span retryAfter, RejectReason reason) {
    OpenStatement statement = statements.get(ticket);
    statement.answered = true;
    binding.forEach(judge -> judge.onAdvice(retryAfter));
    statement.judges.forEach(
        judge -> judge.onRejected(statement.statementClass, !statement.executions.isEmpty()));
  }

  @Override
  public void abort(long ticket) {
    statements.get(ticket).answered = true;
  }

  @Override
  public void closeIdleConnections(Integer server) {
    // Connections are not simulated.
  }

  @Override
  public void onEndpointRemoved(Integer server) {
    // The number of a server stays valid.
  }

  @Override
  public void setTimer(Span delay) {
    timerAt = now.plus(delay.longer(new Span(1)));
  }

  @Override
  public void openConnections(Integer server, int connections) {
    // Connections are not simulated.
  }

  @Override
  public void onSwitchoverPhaseChanged(int group, PlannedSwitchover.Phase phase, Integer target) {
    // There are no planned switchovers.
  }

  @Override
  public void onPrimaryChanged(int group, Integer server, boolean found) {
    // The primary never changes.
  }
}
