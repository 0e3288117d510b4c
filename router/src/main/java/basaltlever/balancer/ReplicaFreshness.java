package basaltlever.balancer;

import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.Workload;
import basaltlever.gateway.Workload.ReadConsistency;
import basaltlever.model.Endpoint;
import basaltlever.model.SessionWrites;
import basaltlever.model.Statement;
import basaltlever.time.Moment;
import basaltlever.time.Span;

/** Tracks which commits each replica is proven to contain, and which ones a statement must see. */
final class ReplicaFreshness {
  private static final int MAX_SESSIONS = 20_000;

  /**
   * The time of a commit is rounded up to the millisecond, which may be too recent for a proven
   * position.
   */
  private static final Span COMMIT_ROUNDING = Span.ofMillis(1);

  private final DecisionContext context;
  private final SessionWrites sessions = new SessionWrites(MAX_SESSIONS);

  ReplicaFreshness(DecisionContext context) {
    this.context = context;
  }

  /** Returns the minimum position of the data that a statement may read. */
  Moment requiredPosition(Workload workload, long session, Moment committedPosition) {
    if (workload.consistency() == ReadConsistency.FRESH) {
      return context.now();
    }
    if (!workload.consistency().includesSessionWrites()) {
      return Moment.LONG_AGO;
    }
    return context.settings().replication().sessionsCarryTokens()
        ? committedPosition
        : sessions.lastWrite(session);
  }

  /**
   * Whether a replica refuses the statement if it is too far behind for it. It checks by what it
   * knows of the workload, so the statement must require what the present settings require.
   */
  boolean isCheckedByReplicas(Statement statement) {
    Workload current = context.settings().workloads()[statement.workloadIndex()];
    return context.settings().replication().replicasCheckFreshness()
        && statement.workload().checkedByReplicas()
        && current.checkedByReplicas()
        && current.requiresSameFreshnessAs(statement.workload());
  }

  boolean isValid(Moment position) {
    return position.isAfter(Moment.LONG_AGO) && !position.isAfter(context.now());
  }

  /** Records the position received at the end of an attempt. */
  void recordPosition(
      Endpoint endpoint, Statement statement, AttemptOutcome outcome, Moment position) {
    boolean wrote =
        outcome == AttemptOutcome.COMPLETED
            && statement.workload().consistency() == ReadConsistency.WRITE;
    if (isValid(position)) {
      endpoint.replication().recordPosition(wrote ? position.minus(COMMIT_ROUNDING) : position);
      observeLag(endpoint, context.now().since(position));
    }
    // Also where statements carry the position: the next settings may need it to be remembered.
    if (wrote) {
      sessions.recordWrite(
          statement.session(), position.isAfter(Moment.LONG_AGO) ? position : context.now());
    }
  }

  /** Updates the replica's estimated lag from the outcome of a read, given when it was sent. */
  void recordOutcome(Endpoint endpoint, Statement statement, AttemptOutcome outcome, Moment sent) {
    if (statement.workload().requiresPrimary()) {
      return;
    }
    Span allowed = statement.allowedLag(sent);
    if (outcome == AttemptOutcome.MISS) {
      observeLag(endpoint, allowed.times(2).longer(estimatedLag(endpoint)));
    } else if (outcome == AttemptOutcome.COMPLETED) {
      observeLag(endpoint, allowed.shorter(estimatedLag(endpoint)));
    }
  }

  /** Records the position in a load report, which may be as old as the group's reports can be. */
  void recordLoadReport(Endpoint endpoint, Moment position) {
    endpoint.replication().recordPosition(position);
    observeLag(endpoint, context.now().since(position).minus(endpoint.group().maxReportAge()));
  }

  /** Whether the replica is proven to lag by no more than the given time. */
  boolean isProven(Endpoint endpoint, Span allowedLag) {
    return !context.now().since(endpoint.replication().provenPosition()).isLongerThan(allowedLag);
  }

  Span estimatedLag(Endpoint endpoint) {
    return endpoint.replication().estimatedLag(context.now());
  }

  void observeLag(Endpoint endpoint, Span lag) {
    endpoint.replication().recordLag(context.now(), lag);
  }
}
