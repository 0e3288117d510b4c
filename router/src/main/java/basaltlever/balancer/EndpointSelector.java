package basaltlever.balancer;

import basaltlever.model.Endpoint;
import basaltlever.model.Statement;

/** Chooses the endpoint for a statement: the primary of its group, or one of the replicas. */
final class EndpointSelector {
  private final PrimarySelector primarySelector;
  private final ReplicaSelector replicaSelector;

  EndpointSelector(PrimarySelector primarySelector, ReplicaSelector replicaSelector) {
    this.primarySelector = primarySelector;
    this.replicaSelector = replicaSelector;
  }

  /** Returns the endpoint that may be sent the statement now; null if the statement must wait. */
  Endpoint select(Statement statement) {
    return statement.workload().requiresPrimary()
        ? primarySelector.select(statement)
        : replicaSelector.select(statement);
  }
}
