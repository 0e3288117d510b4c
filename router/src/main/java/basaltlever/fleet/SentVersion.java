package basaltlever.fleet;

import basaltlever.settings.SettingsVersion;

/**
 * A settings version in a message.
 *
 * @param version the version, with an empty settings text if the text was not sent
 * @param hasText false if the text is omitted because the receiver has it or the version is old
 */
public record SentVersion(SettingsVersion version, boolean hasText) {
  /** Omits the text if the receiver already has that version; returns null for null. */
  static SentVersion withTextUnlessKnown(SettingsVersion version, long knownNumber) {
    return version == null ? null : new SentVersion(version, version.number() != knownNumber);
  }
}
