package basaltlever.gateway;

/**
 * Defines how the position of replicas is checked.
 *
 * @param replicasCheckFreshness whether a replica itself refuses a read that it is too far behind
 *     for
 * @param positionsInResponses whether responses report the endpoint's position
 * @param sessionsCarryTokens whether statements carry the position of their session's last write
 */
public record Replication(
    boolean replicasCheckFreshness, boolean positionsInResponses, boolean sessionsCarryTokens) {}
