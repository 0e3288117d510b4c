package basaltlever.balancer;

import basaltlever.model.Endpoint;
import basaltlever.model.ReplicaGroup;
import basaltlever.model.Statement;
import basaltlever.time.Span;

/** Decides whether the primary of a group has capacity for a statement. */
final class PrimarySelector {
  /**
   * Reads go to the primary only while its load report is no older than this; otherwise it is
   * polled first.
   */
  private static final Span MAX_REPORT_AGE = Span.ofMillis(500);

  /** Share of the primary's capacity reserved for statements that only the primary can execute. */
  private static final double RESERVED_SHARE = 0.3;

  /** Utilization from which on the primary gets no reads that replicas could execute. */
  private static final double MAX_UTILIZATION_FOR_READS = 0.97;

  /** Share of the reads sent to the primary per unit of utilization below that limit. */
  private static final double READ_SHARE_PER_IDLE_UTILIZATION = 4;

  private final DecisionContext context;
  private final EndpointUsability usability;
  private final EndpointHealth health;
  private final PollScheduler polls;

  PrimarySelector(
      DecisionContext context,
      EndpointUsability usability,
      EndpointHealth health,
      PollScheduler polls) {
    this.context = context;
    this.usability = usability;
    this.health = health;
    this.polls = polls;
  }

  /** Returns the primary if it may be sent the statement now; null otherwise. */
  Endpoint select(Statement statement) {
    Endpoint primary = statement.group().primary();
    if (primary == null || !usability.isUsable(primary, statement)) {
      return null;
    }
    if (statement.workload().requiresPrimary()) {
      return health.hasCapacity(primary, statement, 1) ? primary : null;
    }
    if (context.now().since(primary.polling().sentAt()).isLongerThan(MAX_REPORT_AGE)) {
      polls.pollNow(primary);
    }
    return hasCurrentReport(primary)
            && isIdleEnough(primary, statement)
            && health.hasCapacity(primary, statement, 1 - RESERVED_SHARE)
            && !isOutranked(statement)
        ? primary
        : null;
  }

  private boolean hasCurrentReport(Endpoint primary) {
    return (!primary.polling().isInFlight()
            && context.now().isBefore(primary.polling().nextPollAt()))
        || !context.settings().attemptLimits().pollingEnabled();
  }

  /**
   * Whether the primary has CPU to spare, and no statement that only it can execute waits there.
   */
  private boolean isIdleEnough(Endpoint primary, Statement statement) {
    double idle = MAX_UTILIZATION_FOR_READS - primary.load().cpuUtilization();
    return !health.isQueueing(primary)
        && statement.randomShare() < READ_SHARE_PER_IDLE_UTILIZATION * idle;
  }

  /** Whether another waiting statement must get the primary's capacity first. */
  private static boolean isOutranked(Statement statement) {
    ReplicaGroup group = statement.group();
    return !group.heldStatements().isEmpty()
        || (!group.waitingReads().isEmpty()
            && StatementOrder.BY_PRIORITY.compare(group.waitingReads().peek(), statement) < 0);
  }
}
