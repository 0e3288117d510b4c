package basaltlever.settings;

import basaltlever.time.Span;

/**
 * The leader's answer to one heartbeat of a router.
 *
 * @param beat number of the heartbeat that it answers
 * @param lasts duration of the lease from the sending of that heartbeat, by the router's clock;
 *     zero where no lease is granted
 * @param inForce the version in force
 * @param prepared the prepared version, or null
 * @param changes the leader's change count of the register when it answered; a leader that was
 *     replaced without noticing has a smaller one than its successor
 */
public record LeaseGrant(
    long beat, Span lasts, SettingsVersion inForce, SettingsVersion prepared, long changes) {}
