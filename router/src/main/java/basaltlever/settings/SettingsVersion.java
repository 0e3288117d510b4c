package basaltlever.settings;

/**
 * One version of the settings. Version numbers increase and are never reused; number 0 is what the
 * router's own start file says, before the fleet has agreed on any version.
 *
 * @param number of the version
 * @param settingsJson the settings as JSON
 * @param routers number of routers that share the capacity, at least 1
 * @param proposer name of the proposer
 * @param reason the proposer's reason
 * @param proposedAtMillis Unix time of the proposal by the proposer's clock
 */
public record SettingsVersion(
    long number,
    String settingsJson,
    int routers,
    String proposer,
    String reason,
    long proposedAtMillis) {}
