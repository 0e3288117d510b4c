package basaltlever.gateway;

/**
 * All that a router and its operator have agreed: it holds as a whole, and is exchanged as a whole.
 */
public record Settings(
    RouterIdentity identity,
    Workload[] workloads,
    Replication replication,
    DrainPolicy drainPolicy,
    SlowStartPolicy slowStart,
    AttemptLimits attemptLimits,
    PoolSettings poolSettings) {}
