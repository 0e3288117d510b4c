package basaltlever.gateway;

/**
 * All that a router and its operator have agreed: it holds as a whole, and is exchanged as a whole.
 */
public record Agreed(
    Standing standing,
    Workload[] workloads,
    Replication replication,
    Drains drains,
    WarmUp warmUp,
    Allowance allowance,
    Connections connections) {}
