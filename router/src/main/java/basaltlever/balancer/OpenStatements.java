package basaltlever.balancer;

import basaltlever.model.Endpoint;
import basaltlever.model.ReplicaGroup;
import basaltlever.model.Statement;
import basaltlever.time.Moment;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;

/**
 * All statements without a final answer, which are looked over periodically: for silent endpoints,
 * overdue statements, and attempts that are worth repeating elsewhere.
 */
final class OpenStatements {
  private static final int INITIAL_STATEMENTS = 256;

  private final DecisionContext context;
  private final EndpointHealth health;
  private final EvaluationQueue evaluations;
  private final AdmissionControl admission;
  private final AttemptPolicy attempts;
  private final FinalAnswers answers;
  private final StatementDispatcher dispatcher;
  private final List<Statement> open = new ArrayList<>();
  private Statement[] byId = new Statement[INITIAL_STATEMENTS];
  private Moment nextScanAt = Moment.NEVER;

  OpenStatements(
      DecisionContext context,
      EndpointHealth health,
      EvaluationQueue evaluations,
      AdmissionControl admission,
      AttemptPolicy attempts,
      FinalAnswers answers,
      StatementDispatcher dispatcher) {
    this.context = context;
    this.health = health;
    this.evaluations = evaluations;
    this.admission = admission;
    this.attempts = attempts;
    this.answers = answers;
    this.dispatcher = dispatcher;
  }

  /** The statement that has this id, or had it last; null where none did. */
  Statement statement(int id) {
    return byId[id];
  }

  void add(Statement statement) {
    int id = statement.id();
    byId = id < byId.length ? byId : Arrays.copyOf(byId, 2 * id);
    byId[id] = statement;
    open.add(statement);
  }

  /** Makes sure that a scan follows within the scan interval. */
  void scheduleScan() {
    scheduleScan(nextScanAt.earlier(context.now().plus(Timing.SCAN_INTERVAL)));
  }

  private void scheduleScan(Moment at) {
    nextScanAt = at;
    context.scanDelay().scheduled(at);
  }

  Moment nextScanAt() {
    return nextScanAt;
  }

  /** Where settings no longer allow hedged requests, only the first attempt in flight goes on. */
  void cancelHedgedRequests() {
    for (Statement statement : open) {
      if (statement.attemptsInFlight() > 1) {
        answers.cancelAttempts(statement, statement.firstInFlight() + 1);
      }
    }
  }

  /** Looks over the open statements; groups of finished ones are handed over. */
  void scan(Consumer<ReplicaGroup> onFinished) {
    context.scanDelay().scanned(context.now());
    for (int i = open.size() - 1; i >= 0; i--) {
      Statement statement = open.get(i);
      boolean stuck = isStuck(statement);
      if (statement.isFinished()) {
        Collections.swap(open, i, open.size() - 1);
        open.remove(open.size() - 1);
        onFinished.accept(statement.group());
      } else if (statement.isQueued()) {
        scanQueued(statement);
      } else if (stuck) {
        retryElsewhere(statement);
      }
    }
    scheduleScan(open.isEmpty() ? Moment.NEVER : context.now().plus(Timing.SCAN_INTERVAL));
  }

  /** Whether all its attempts in flight are at endpoints that answer nobody. */
  private boolean isStuck(Statement statement) {
    boolean stuck = statement.attemptsInFlight() > 0;
    for (int i = 0; statement.attemptsInFlight() > 0 && i < statement.attempts(); i++) {
      if (statement.isInFlight(i)) {
        health.detectSilence(statement.endpoint(i), statement, statement.sentAt(i));
        stuck &= isStuck(statement, i);
      }
    }
    return stuck;
  }

  private boolean isStuck(Statement statement, int attempt) {
    Endpoint endpoint = statement.endpoint(attempt);
    // A trial has its own time: called off with the rest, none would ever end a silence.
    boolean isTrial = statement.sentAt(attempt).isAfter(endpoint.health().unresponsiveSince());
    return endpoint.health().isDown()
        || (endpoint.health().isUnresponsive()
            && (context.settings().attemptLimits().hedgingEnabled() || !isTrial));
  }

  private void scanQueued(Statement statement) {
    evaluations.add(statement.group());
    if (statement.workload().requiresPrimary() && admission.isOverdue(statement)) {
      answers.leaveHold(statement);
      dispatcher.add(statement);
    }
  }

  /** An attempt elsewhere may still be in time; without hedged requests the others end first. */
  private void retryElsewhere(Statement statement) {
    boolean hedges = context.settings().attemptLimits().hedgingEnabled();
    if (!attempts.mayRetry(statement, hedges ? statement.attemptsInFlight() : 0)) {
      return;
    }
    if (hedges) {
      dispatcher.add(statement);
    } else {
      answers.cancelAttempts(statement, 0);
    }
  }
}
