package basaltlever.settings;

import basaltlever.time.Span;

/**
 * A leader's answer to one beat.
 *
 * @param beat number of the beat that it answers
 * @param lasts from the beat's sending on, by the router's own clock; none where no lease is given
 * @param inForce the version in force
 * @param prepared the version on its way, or null
 * @param changes of the voters' register when it was given: a leader that was replaced knows fewer
 */
public record LeaseGrant(
    long beat, Span lasts, SettingsVersion inForce, SettingsVersion prepared, long changes) {}
