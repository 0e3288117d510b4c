package basaltlever.balancer;

import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.Workload;
import basaltlever.gateway.Workload.ReadConsistency;
import basaltlever.model.Endpoint;
import basaltlever.model.SessionWrites;
import basaltlever.model.Statement;
import basaltlever.time.Moment;
import basaltlever.time.Span;

/** Which commits each replica is known to hold, and which ones a statement must see. */
final class ReplicaFreshness {
  private static final int MAX_SESSIONS = 20_000;

  /** A commit's time is rounded up to its millisecond, which is too new for a position. */
  private static final Span COMMIT_ROUNDING = Span.ofMillis(1);

  private final DecisionContext context;
  private final SessionWrites sessions = new SessionWrites(MAX_SESSIONS);

  ReplicaFreshness(DecisionContext context) {
    this.context = context;
  }

  /** What the data under a statement must hold at least. */
  Moment requiredPosition(Workload workload, long session, Moment committed) {
    return switch (workload.consistency()) {
      case FRESH -> context.now();
      case SESSION ->
          context.settings().replication().sessionsCarryTokens()
              ? committed
              : sessions.lastWrite(session);
      default -> Moment.LONG_AGO;
    };
  }

  boolean isValid(Moment position) {
    return position.isAfter(Moment.LONG_AGO) && !position.isAfter(context.now());
  }

  /** The position that came with the end of an attempt. */
  void recordPosition(
      Endpoint endpoint, Statement statement, AttemptOutcome outcome, Moment position) {
    boolean wrote =
        outcome == AttemptOutcome.COMPLETED
            && statement.workload().consistency() == ReadConsistency.WRITE;
    if (isValid(position)) {
      endpoint.replication().recordPosition(wrote ? position.minus(COMMIT_ROUNDING) : position);
      observeLag(endpoint, context.now().since(position));
    }
    if (wrote && !context.settings().replication().sessionsCarryTokens()) {
      sessions.recordWrite(
          statement.session(), position.isAfter(Moment.LONG_AGO) ? position : context.now());
    }
  }

  /** What the outcome of a read tells of the replica's lag when it was sent. */
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

  /** The position in a load report, which may be as old as reports of the group are. */
  void recordLoadReport(Endpoint endpoint, Moment position) {
    endpoint.replication().recordPosition(position);
    observeLag(endpoint, context.now().since(position).minus(endpoint.group().maxReportAge()));
  }

  /** Whether all commits up to that lag are proven to be in the replica's data. */
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
