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
    PoolSettings poolSettings) {}
