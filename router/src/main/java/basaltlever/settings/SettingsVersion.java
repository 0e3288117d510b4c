package basaltlever.settings;

/**
 * One content of the settings. Numbers count up and are never given again; 0 is the start file's
 * own content, before the fleet agreed on any.
 *
 * @param text the settings as JSON
 * @param routers how many routers share the whole, at least 1
 * @param who who proposed it
 * @param why in the proposer's words
 * @param atMillis Unix time at the proposer
 */
public record SettingsVersion(
    long number, String text, int routers, String who, String why, long atMillis) {}
