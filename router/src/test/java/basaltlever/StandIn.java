package basaltlever;

import basaltlever.balancer.LoadBalancer;
import basaltlever.gateway.AttemptLimits;
import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.DecisionSink;
import basaltlever.gateway.DrainPolicy;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.gateway.PoolSettings;
import basaltlever.gateway.RejectReason;
import basaltlever.gateway.Replication;
import basaltlever.gateway.Role;
import basaltlever.gateway.RouterIdentity;
import basaltlever.gateway.Settings;
import basaltlever.gateway.SlowStartPolicy;
import basaltlever.gateway.StatementRequest;
import basaltlever.gateway.Workload;
import basaltlever.gateway.Workload.DeduplicationScope;
import basaltlever.gateway.Workload.Idempotency;
import basaltlever.gateway.Workload.ReadConsistency;
import basaltlever.hold.HoldBudget;
import basaltlever.switchover.PlannedSwitchover;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * Stands in for the world of one router: records what it does, checks the rules at each act, and
 * can play nodes.
 */
public final class StandIn implements DecisionSink {
  static final int ANY = 0;
  static final int BOUNDED = 1;
  static final int SESSION = 2;
  static final int FRESH = 3;
  static final int WRITE = 4;
  static final int KEYED = 5;
  static final int LATE = 6;
  static final int LONG = 7;
  static final Span SLACK = ms(20);

  record Sent(int statement, int execution, int node, Span timeout, Moment at, Moment sendBy) {}

  private record Due(Moment at, int order, Runnable act) {}

  /** The truth about one node, which the router sees only through polls, answers and the list. */
  static final class Member {
    boolean alive = true;
    boolean hangs;
    boolean primary;
    boolean listedReady = true;
    boolean wasPrimary;
    boolean toldReplica;
    Moment position;
    Moment startedAt = Moment.LONG_AGO;
    Moment toldStart = Moment.LONG_AGO;
    double failing;
    final List<Moment> sends = new ArrayList<>();
  }

  static final class Fate {
    Moment leaves;

    /** As they were when it was taken. */
    Workload terms;

    long session;
    Moment needed = Moment.LONG_AGO;
    boolean answered;
    boolean mayHaveRun;
    Moment firstMaybe = Moment.NEVER;
    int executions;
    int out;
  }

  Moment now = new Moment(1_000_000_000L);
  final LoadBalancer balancer;
  final HoldBudget holds = new HoldBudget(10_000, 1 << 20);
  final List<PlannedSwitchover.Phase> phases = new ArrayList<>();
  int prepared;
  final Settings settings;
  private final Span slo;
  Workload[] workloads;
  final Replication replication;
  final AttemptLimits attemptLimits;
  final SlowStartPolicy slowStart = new SlowStartPolicy(0.2, ms(10_000), 2, ms(1_000));
  final List<Sent> sent = new ArrayList<>();
  final List<Integer> polled = new ArrayList<>();
  final List<Integer> letGo = new ArrayList<>();
  final List<Integer> forgotten = new ArrayList<>();
  final List<Integer> rejected = new ArrayList<>();
  final List<Integer> aborted = new ArrayList<>();
  final List<Sent> cancelled = new ArrayList<>();
  int watches;
  Span advice;
  final Set<Sent> ended = new HashSet<>();
  final List<Member> members = new ArrayList<>();
  final List<Fate> fates = new ArrayList<>();
  private final PriorityQueue<Due> due =
      new PriorityQueue<>(
          (a, b) ->
              a.at.equals(b.at) ? Integer.compare(a.order, b.order) : a.at.isBefore(b.at) ? -1 : 1);
  private final Map<Long, Moment> commits = new HashMap<>();
  private int order;

  /** With a source of chance the nodes answer by themselves. */
  private SplittableRandom plays;

  static Span ms(double millis) {
    return Span.ofMillis(millis);
  }

  private Workload workload(
      ReadConsistency needs, Idempotency repeat, double importance, double late) {
    return new Workload(
        needs,
        ms(300),
        repeat,
        DeduplicationScope.GROUP,
        ms(600),
        slo,
        ms(2_000),
        importance,
        late);
  }

  StandIn(boolean check, boolean positions, boolean tokens, boolean asked, boolean copies) {
    this(check, positions, tokens, asked, copies, 2, 7);
  }

  StandIn(
      boolean check,
      boolean positions,
      boolean tokens,
      boolean asked,
      boolean copies,
      int routers,
      long seed) {
    this(check, positions, tokens, asked, copies, routers, seed, 300);
  }

  StandIn(
      boolean check,
      boolean positions,
      boolean tokens,
      boolean asked,
      boolean copies,
      int routers,
      long seed,
      int sloMillis) {
    this(check, positions, tokens, asked, copies, routers, seed, sloMillis, 0);
  }

  /**
   * With one workload more, that any member may answer and that takes long, where the last is not
   * 0.
   */
  StandIn(
      boolean check,
      boolean positions,
      boolean tokens,
      boolean asked,
      boolean copies,
      int routers,
      long seed,
      int sloMillis,
      int longMillis) {
    slo = ms(sloMillis);
    Workload[] usual = {
      workload(ReadConsistency.ANY, Idempotency.IDEMPOTENT, 1, 0),
      workload(ReadConsistency.BOUNDED, Idempotency.IDEMPOTENT, 2, 0.2),
      workload(ReadConsistency.SESSION, Idempotency.IDEMPOTENT, 2, 0),
      workload(ReadConsistency.FRESH, Idempotency.IDEMPOTENT, 1, 0.2),
      workload(ReadConsistency.WRITE, Idempotency.NON_IDEMPOTENT, 4, 0.5),
      workload(ReadConsistency.WRITE, Idempotency.DEDUPLICATED, 3, 0.5),
      workload(ReadConsistency.WRITE, Idempotency.NON_IDEMPOTENT, 3, 0.8)
    };
    workloads = longMillis == 0 ? usual : Arrays.copyOf(usual, LONG + 1);
    if (longMillis > 0) {
      workloads[LONG] =
          new Workload(
              ReadConsistency.ANY,
              ms(0),
              Idempotency.IDEMPOTENT,
              DeduplicationScope.GROUP,
              ms(0),
              ms(longMillis),
              ms(2 * longMillis),
              4,
              0);
    }
    replication = new Replication(check, positions, tokens);
    attemptLimits = new AttemptLimits(6, copies, true, true, ms(1_000), SLACK);
    settings =
        new Settings(
            new RouterIdentity(routers, 0, 0.01, 0.02),
            workloads,
            replication,
            new DrainPolicy(asked, ms(10_000), true),
            slowStart,
            attemptLimits,
            new PoolSettings(1, ms(15_000)));
    balancer = new LoadBalancer(this, new SplittableRandom(seed), settings, holds, now);
  }

  /**
   * As after the move: answers tell positions, replicas check, one execution out, removals do not
   * bind.
   */
  static StandIn moved() {
    StandIn world = new StandIn(true, true, true, false, false, 2, 7, 300, 6_000);
    world.balancer.applySettings(world.now, world.with(world.attemptLimits, false));
    return world;
  }

  Settings with(AttemptLimits allows, boolean removalBinds) {
    return new Settings(
        settings.identity(),
        workloads,
        replication,
        new DrainPolicy(false, ms(10_000), removalBinds),
        slowStart,
        allows,
        settings.poolSettings());
  }

  /** Settings with other workloads at their places: all that was taken before ends by its own. */
  void agree(Workload[] next) {
    workloads = next;
    balancer.applySettings(
        now,
        new Settings(
            settings.identity(),
            next,
            replication,
            settings.drainPolicy(),
            slowStart,
            attemptLimits,
            settings.poolSettings()));
  }

  static StandIn plain() {
    return new StandIn(false, false, false, false, true);
  }

  // ---- Driving by hand.

  StandIn list(int nodes) {
    balancer.onListStarted();
    for (int i = 0; i < nodes; i++) {
      balancer.onEndpointListed(now, i, EndpointLifecycle.READY, 1, 0, 1, Moment.LONG_AGO);
    }
    balancer.onListFinished(now, true, true);
    return this;
  }

  void relist(int node, EndpointLifecycle state, Moment startedAt) {
    balancer.onListStarted();
    balancer.onEndpointListed(now, node, state, 1, 0, 1, startedAt);
    balancer.onListFinished(now, false, true);
  }

  StandIn later(double millis) {
    for (Moment end = now.plus(ms(millis)); now.isBefore(end); ) {
      now = now.plus(ms(5)).earlier(end);
      balancer.onTimerFired(now);
    }
    return this;
  }

  void poll(int node, Role role, Moment position) {
    balancer.onPollEnded(now, node, AttemptOutcome.COMPLETED, role, position, 0.5, Double.NaN);
  }

  /** Three members, node 0 primary, the replicas shown at the given age. */
  StandIn steady(double lagMillis) {
    list(3);
    poll(0, Role.PRIMARY, now);
    poll(1, Role.REPLICA, now.minus(ms(lagMillis)));
    poll(2, Role.REPLICA, now.minus(ms(lagMillis)));
    return this;
  }

  int take(int workload) {
    return take(workload, 9, Moment.LONG_AGO, 1_000);
  }

  int take(int workload, long session, Moment committed, double leavesMillis) {
    Fate fate = new Fate();
    fate.terms = workloads[workload];
    fate.session = session;
    fate.leaves = now.plus(ms(leavesMillis));
    ReadConsistency needs = workloads[workload].consistency();
    fate.needed =
        needs == ReadConsistency.FRESH
            ? now
            : needs != ReadConsistency.SESSION
                ? Moment.LONG_AGO
                : replication.sessionsCarryTokens()
                    ? committed
                    : commits.getOrDefault(session, Moment.LONG_AGO);
    fates.add(fate);
    int id = fates.size() - 1;
    balancer.onStatementReceived(
        now, id, new StatementRequest(workload, 1, session, fate.leaves, committed, 100));
    return id;
  }

  /** A client leaves early; the statement is an unanswered one where there is any. */
  int leave(SplittableRandom chance) {
    int id = fates.isEmpty() ? take(ANY) : chance.nextInt(fates.size());
    fates.get(id).answered = true;
    return id;
  }

  Sent last() {
    return sent.get(sent.size() - 1);
  }

  void end(Sent execution, AttemptOutcome outcome, Role role) {
    end(execution, outcome, role, Moment.LONG_AGO);
  }

  void end(Sent execution, AttemptOutcome outcome, Role role, Moment position) {
    Fate fate = fates.get(execution.statement);
    fate.out--;
    if (!outcome.provesNotExecuted) {
      fate.mayHaveRun = true;
      fate.firstMaybe = fate.firstMaybe.earlier(execution.at);
    }
    boolean first = outcome == AttemptOutcome.COMPLETED && !fate.answered;
    if (first) {
      check(!now.isAfter(fate.leaves.plus(SLACK)), "answered late");
      fate.answered = true;
    }
    if (role == Role.REPLICA && execution.node < members.size()) {
      members.get(execution.node).toldReplica = true;
    }
    balancer.onAttemptEnded(
        now, execution.statement, execution.execution, outcome, role, position, fate.answered);
  }

  /** Ends, once each, those executions that the test picks. */
  void endThose(Predicate<Sent> which, AttemptOutcome outcome, Role role) {
    sent.stream().filter(which).filter(ended::add).toList().forEach(s -> end(s, outcome, role));
  }

  /** What is still out when its client leaves times out then. */
  void timeOutWhoseClientLeft() {
    endThose(
        s -> !now.isBefore(fates.get(s.statement).leaves), AttemptOutcome.TIMED_OUT, Role.UNKNOWN);
  }

  boolean isOlder(Sent execution, double millis) {
    return now.since(execution.at).isLongerThan(ms(millis));
  }

  // ---- What the router does, with the rules checked.

  public static void check(boolean holds, String rule) {
    if (!holds) {
      throw new AssertionError(rule);
    }
  }

  @Override
  public void startAttempt(int statement, int node, Span timeout, Moment sendBy) {
    Fate fate = fates.get(statement);
    Workload terms = fate.terms;
    check(!fate.answered, "rule 1: sent after the final answer");
    check(fate.executions < attemptLimits.maxAttempts(), "too many executions");
    check(attemptLimits.hedgingEnabled() || fate.out == 0, "two at once");
    if (terms.idempotency() == Idempotency.NON_IDEMPOTENT) {
      check(!fate.mayHaveRun && fate.out == 0, "rule 2: non-idempotent sent again");
    } else if (terms.idempotency() == Idempotency.DEDUPLICATED
        && (fate.mayHaveRun || fate.out > 0)) {
      check(
          now.isBefore(fate.firstMaybe.plus(terms.deduplicationWindow()))
              && !sendBy.isAfter(fate.firstMaybe.plus(terms.deduplicationWindow())),
          "rule 2: sent again outside its window, now or once a connection stands");
    }
    if (node < members.size()) {
      checkNode(members.get(node), fate, terms);
    }
    Sent execution = new Sent(statement, fate.executions++, node, timeout, now, sendBy);
    fate.out++;
    sent.add(execution);
    if (plays != null) {
      play(execution, members.get(node), fate);
    }
  }

  private void checkNode(Member member, Fate fate, Workload terms) {
    check(member.listedReady, "rule 3: sent to a node known to drain or be gone");
    if (!replication.replicasCheckFreshness() && !(member.wasPrimary && !member.toldReplica)) {
      Moment needed =
          terms.consistency() == ReadConsistency.BOUNDED
              ? now.minus(terms.maxStaleness())
              : fate.needed;
      check(!truth(member).isBefore(needed), "rule 5: stale read");
    }
    Span age = now.since(member.startedAt);
    if (age.isShorterThan(slowStart.warmUpTime()) && member.toldStart.equals(member.startedAt)) {
      member.sends.add(now);
      long recent =
          member.sends.stream()
              .filter(at -> now.since(at).isShorterThan(slowStart.overloadTime()))
              .count();
      double able =
          NODE_RATE
              * (slowStart.initialShare()
                  + (1 - slowStart.initialShare()) * age.ratioTo(slowStart.warmUpTime()));
      check(
          recent <= Math.max(2, slowStart.overloadFactor() * able),
          "rule 4: cold node pushed over");
    }
  }

  @Override
  public void cancel(int statement, int execution) {
    check(execution < fates.get(statement).executions, "cancelled what was never sent");
    cancelled.add(new Sent(statement, execution, -1, Span.NONE, now, now));
  }

  @Override
  public void reject(int statement, Span comeBackAfter, RejectReason reason) {
    Fate fate = fates.get(statement);
    check(!comeBackAfter.isLongerThan(attemptLimits.maxRetryAfter()), "advice too long");
    check(
        fate.terms.idempotency() == Idempotency.IDEMPOTENT || (!fate.mayHaveRun && fate.out == 0),
        "rule 2: rejected what may have run");
    answer(fate);
    advice = comeBackAfter;
    rejected.add(statement);
  }

  @Override
  public void abort(int statement) {
    answer(fates.get(statement));
    aborted.add(statement);
  }

  private void answer(Fate fate) {
    check(!fate.answered, "rule 1: answered twice");
    check(!now.isAfter(fate.leaves.plus(SLACK)), "rule 1: answered late");
    fate.answered = true;
  }

  @Override
  public void poll(int node) {
    polled.add(node);
    if (plays == null) {
      return;
    }
    Member member = members.get(node);
    Moment reported = now.minus(ms(plays.nextInt(150)));
    boolean primary = member.primary;
    Moment position = truth(member).earlier(reported);
    after(
        plays.nextInt(1, 10),
        () -> {
          if (member.alive) {
            balancer.onPollEnded(
                now,
                node,
                AttemptOutcome.COMPLETED,
                primary ? Role.PRIMARY : Role.REPLICA,
                position,
                plays.nextInt(20) == 0 ? Double.NaN : plays.nextDouble(),
                Double.NaN);
          } else {
            balancer.onPollEnded(
                now,
                node,
                plays.nextBoolean() ? AttemptOutcome.TIMED_OUT : AttemptOutcome.NO_CONNECTION,
                Role.UNKNOWN,
                Moment.LONG_AGO,
                Double.NaN,
                Double.NaN);
          }
        });
  }

  @Override
  public void onEndpointRemoved(int node) {
    forgotten.add(node);
  }

  @Override
  public void closeIdleConnections(int node) {
    letGo.add(node);
  }

  @Override
  public void watchEndpointList() {
    watches++;
    if (plays != null) {
      after(
          plays.nextInt(5, 200),
          () -> {
            if (plays.nextInt(3) == 0) {
              balancer.onListRequestFailed(now);
            } else {
              listAll();
            }
          });
    }
  }

  @Override
  public void setTimer(Span fromNow) {
    check(fromNow.micros() > 0, "woken in the past");
    after(Math.max(1, fromNow.micros() / 1_000.0), () -> balancer.onTimerFired(now));
  }

  @Override
  public void onPrimaryChanged(int group, int node, boolean found) {}

  @Override
  public void openConnections(int node, int connections) {
    prepared = connections;
  }

  @Override
  public void onSwitchoverPhaseChanged(int group, PlannedSwitchover.Phase phase, int target) {
    phases.add(phase);
  }

  // ---- Nodes that answer by themselves.

  static final double NODE_RATE = 100;

  void playWith(SplittableRandom chance, int nodes) {
    plays = chance;
    for (int i = 0; i < nodes; i++) {
      Member member = new Member();
      member.primary = member.wasPrimary = i == 0;
      member.position = now;
      members.add(member);
    }
    listAll();
  }

  void listAll() {
    balancer.onListStarted();
    for (int i = 0; i < members.size(); i++) {
      Member member = members.get(i);
      member.toldStart = member.startedAt;
      balancer.onEndpointListed(
          now,
          i,
          member.listedReady ? EndpointLifecycle.READY : EndpointLifecycle.DRAINING,
          1,
          i % 2,
          1,
          member.startedAt);
    }
    balancer.onListFinished(now, true, true);
  }

  private Moment truth(Member member) {
    return member.primary && member.alive ? now : member.position;
  }

  private void after(double millis, Runnable act) {
    due.add(new Due(now.plus(ms(millis)), order++, act));
  }

  private void play(Sent execution, Member member, Fate fate) {
    boolean write = fate.terms.consistency() == ReadConsistency.WRITE;
    double last = execution.timeout.micros() > 0 ? execution.timeout.micros() / 1e3 : 1e9;
    double left = Math.max(1, Math.min(last, fate.leaves.since(now).micros() / 1e3));
    double takes = member.alive ? 1 + plays.nextInt(40) : 3;
    AttemptOutcome outcome =
        !member.alive
            ? plays.nextBoolean() ? AttemptOutcome.NO_CONNECTION : AttemptOutcome.RESET
            : member.hangs
                ? AttemptOutcome.TIMED_OUT
                : plays.nextDouble() < member.failing
                    ? AttemptOutcome.ERROR
                    : plays.nextInt(50) == 0
                        ? AttemptOutcome.FULL
                        : write && !member.primary ? AttemptOutcome.MISS : AttemptOutcome.COMPLETED;
    if (outcome == AttemptOutcome.TIMED_OUT || takes > left) {
      takes = left;
      outcome = AttemptOutcome.TIMED_OUT;
    }
    AttemptOutcome planned = outcome;
    after(
        takes,
        () -> {
          // A write that its node still holds when it loses the role ends in an error.
          boolean lost =
              write && planned == AttemptOutcome.COMPLETED && !(member.primary && member.alive);
          AttemptOutcome how = lost ? AttemptOutcome.ERROR : planned;
          boolean told =
              how == AttemptOutcome.COMPLETED
                  || how == AttemptOutcome.MISS
                  || how == AttemptOutcome.ERROR;
          boolean wrote = write && how == AttemptOutcome.COMPLETED;
          if (wrote && !fate.answered) {
            commits.merge(fate.session, now, Moment::later);
          }
          end(
              execution,
              how,
              !told ? Role.UNKNOWN : member.primary ? Role.PRIMARY : Role.REPLICA,
              wrote
                  ? now
                  : told && replication.positionsInResponses() ? member.position : Moment.LONG_AGO);
        });
  }

  /** Lets the clock run, in the order in which things fall due, and moves the replicas along. */
  void run(double millis) {
    Moment end = now.plus(ms(millis));
    while (!due.isEmpty() && !due.peek().at.isAfter(end)) {
      Due next = due.poll();
      now = now.later(next.at);
      next.act.run();
    }
    now = end;
    boolean led = members.stream().anyMatch(m -> m.primary && m.alive && !m.hangs);
    for (Member member : members) {
      if (member.primary && member.alive) {
        member.position = now;
      } else if (member.alive && led) {
        member.position = member.position.later(now.minus(ms(plays.nextInt(20) == 0 ? 500 : 20)));
      }
    }
    for (int i = 0; i < fates.size(); i++) {
      check(
          fates.get(i).answered || !now.isAfter(fates.get(i).leaves.plus(SLACK)),
          "rule 1: no answer in time");
    }
  }
}
