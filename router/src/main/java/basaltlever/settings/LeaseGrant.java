package basaltlever.settings;

import basaltlever.time.Span;

/**
 * Answer of the leader to one heartbeat of a router.
 *
 * @param heartbeatNumber number of the heartbeat that this grant answers
 * @param duration duration of the lease from the sending of that heartbeat, by the router's clock;
 *     zero if no lease is granted
 * @param inForce the version in force
 * @param prepared the prepared version, or null if there is none
 * @param changeCount change count of the leader's register at the time of the answer; smaller at a
 *     leader that was replaced without noticing than at its successor
 */
public record LeaseGrant(
    long heartbeatNumber,
    Span duration,
    SettingsVersion inForce,
    SettingsVersion prepared,
    long changeCount) {}
