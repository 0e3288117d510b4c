package basaltlever.settings;

import basaltlever.time.Span;

/**
 * The leader's answer to one heartbeat of a router.
 *
 * @param heartbeatNumber number of the heartbeat that it answers
 * @param duration duration of the lease from the sending of that heartbeat, by the router's clock;
 *     zero where no lease is granted
 * @param inForce the version in force
 * @param prepared the prepared version, or null
 * @param changeCount the leader's change count of the register when it answered; a leader that was
 *     replaced without noticing has a smaller one than its successor
 */
public record LeaseGrant(
    long heartbeatNumber,
    Span duration,
    SettingsVersion inForce,
    SettingsVersion prepared,
    long changeCount) {}
