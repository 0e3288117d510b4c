package basaltlever.balancer;

import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.Workload.ReadConsistency;
import basaltlever.model.DecayingValue;
import basaltlever.model.Endpoint;
import basaltlever.model.ReplicaGroup;
import basaltlever.model.Statement;
import basaltlever.time.Span;

/**
 * The share of reads that busy endpoints of a group answer late. The primary counts apart: its
 * congestion must not keep reads off idle replicas.
 */
final class CongestionTracker {
  /** A report older than this does not tell whether the endpoint was busy. */
  private static final Span MAX_REPORT_AGE = Timing.ONE_SECOND.times(2);

  private final DecisionContext context;

  CongestionTracker(DecisionContext context) {
    this.context = context;
  }

  /** The congestion where a statement could go, between 0 and 1. */
  double congestion(Statement statement) {
    ReplicaGroup group = statement.group();
    DecayingValue congestion =
        statement.workload().requiresPrimary()
            ? group.primaryCongestion()
            : group.replicaCongestion();
    return congestion.valueAt(context.now(), Timing.LONG_DECAY);
  }

  void recordAttempt(Endpoint endpoint, Statement statement, AttemptOutcome outcome, boolean late) {
    if (statement.workload().consistency() == ReadConsistency.WRITE) {
      return;
    }
    boolean congested = (late && mayBeBusy(endpoint)) || outcome == AttemptOutcome.FULL;
    if (congested || (outcome == AttemptOutcome.COMPLETED && !late)) {
      ReplicaGroup group = endpoint.group();
      DecayingValue congestion =
          endpoint == group.primary() ? group.primaryCongestion() : group.replicaCongestion();
      congestion.moveTowards(
          context.now(),
          Timing.LONG_DECAY,
          context.eventWeight(congestion.updatedAt()),
          congested ? 1 : 0);
    }
  }

  private boolean mayBeBusy(Endpoint endpoint) {
    boolean unknown =
        !endpoint.load().hasCpuUtilization()
            && context.now().since(endpoint.polling().sentAt()).isLongerThan(MAX_REPORT_AGE);
    return endpoint.load().cpuUtilization() > EndpointHealth.BUSY_UTILIZATION || unknown;
  }
}
