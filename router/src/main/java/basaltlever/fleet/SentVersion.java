package basaltlever.fleet;

import basaltlever.settings.SettingsVersion;

/**
 * A settings version as part of a message.
 *
 * @param version with an empty text where none was sent
 * @param hasText false where the text is left out, because the receiver has it or it is too old
 */
public record SentVersion(SettingsVersion version, boolean hasText) {
  /** With its text, unless the receiver has that version already; null stays null. */
  static SentVersion withTextUnlessKnown(SettingsVersion version, long knownNumber) {
    return version == null ? null : new SentVersion(version, version.number() != knownNumber);
  }
}
