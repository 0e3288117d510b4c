package basaltlever.gateway;

/** How replicas follow their primary, and what they do when they are too far behind for a read. */
public record Replication(
    boolean replicasCheckFreshness, boolean positionsInResponses, boolean sessionsCarryTokens) {}
