package basaltlever.gateway;

/**
 * The settings that the router and its operator have agreed on. They are always replaced as one
 * unit.
 */
public record Settings(
    RouterIdentity identity,
    Workload[] workloads,
    Replication replication,
    DrainPolicy drainPolicy,
    SlowStartPolicy slowStart,
    AttemptLimits attemptLimits,
    PoolSettings poolSettings) {
  /** Returns these settings with other workloads. */
  public Settings withWorkloads(Workload[] otherWorkloads) {
    return new Settings(
        identity, otherWorkloads, replication, drainPolicy, slowStart, attemptLimits, poolSettings);
  }

  /** Returns these settings with another way of checking the position of replicas. */
  public Settings withReplication(Replication otherReplication) {
    return new Settings(
        identity, workloads, otherReplication, drainPolicy, slowStart, attemptLimits, poolSettings);
  }
}
