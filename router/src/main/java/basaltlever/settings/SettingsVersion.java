package basaltlever.settings;

/**
 * One version of the settings. Version numbers increase and are never reused; number 0 is what the
 * router's own start file says, before the fleet has agreed on any version.
 *
 * @param number of the version
 * @param text the settings as JSON
 * @param routers number of routers that share the capacity, at least 1
 * @param who name of the proposer
 * @param why the proposer's reason
 * @param atMillis Unix time of the proposal by the proposer's clock
 */
public record SettingsVersion(
    long number, String text, int routers, String who, String why, long atMillis) {}
