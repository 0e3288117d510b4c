package basaltlever.settings;

/**
 * One version of the settings. Version numbers increase and are never reused. Number 0 denotes the
 * settings of the router's own start file, before the fleet has agreed on any version.
 *
 * @param number number of the version
 * @param settingsJson settings as JSON
 * @param routers number of routers that share the capacity, at least 1
 * @param proposer name of the proposer
 * @param reason reason given by the proposer
 * @param proposedAtMillis Unix time of the proposal by the proposer's clock
 */
public record SettingsVersion(
    long number,
    String settingsJson,
    int routers,
    String proposer,
    String reason,
    long proposedAtMillis) {}
