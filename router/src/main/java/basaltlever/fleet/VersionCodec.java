package basaltlever.fleet;

import basaltlever.settings.SettingsVersion;
import basaltlever.settings.VersionRegister.HistoryEntry;
import basaltlever.settings.VersionRegister.VersionOutcome;
import java.util.LinkedHashMap;
import java.util.Map;

/** Converts settings versions to and from fields of messages and files. */
final class VersionCodec {
  private VersionCodec() {}

  /** Returns null for null. */
  static Map<String, Object> encode(SettingsVersion version) {
    if (version == null) {
      return null;
    }
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("number", version.number());
    fields.put("text", version.settingsJson());
    fields.put("routers", version.routers());
    fields.put("who", version.proposer());
    fields.put("why", version.reason());
    fields.put("at", version.proposedAtMillis());
    return fields;
  }

  /** Returns null for null. */
  static Map<String, Object> encode(SentVersion sent) {
    if (sent == null) {
      return null;
    }
    Map<String, Object> fields = encode(sent.version());
    if (!sent.hasText()) {
      fields.remove("text");
    }
    return fields;
  }

  static Map<String, Object> encode(HistoryEntry entry) {
    return withOutcome(encode(entry.version()), entry.outcome().name(), entry.reason());
  }

  static Map<String, Object> withOutcome(
      Map<String, Object> version, String outcome, String reason) {
    version.put("end", outcome);
    version.put("reason", reason);
    return version;
  }

  /** Returns null if the value is not a version. */
  static SettingsVersion decode(Object value) {
    return value instanceof Map<?, ?> fields
        ? new SettingsVersion(
            MessageCodec.getNumber(fields, "number"),
            MessageCodec.getText(fields, "text"),
            (int) Math.max(1, MessageCodec.getNumber(fields, "routers")),
            MessageCodec.getText(fields, "who"),
            MessageCodec.getText(fields, "why"),
            MessageCodec.getNumber(fields, "at"))
        : null;
  }

  /** Returns null if the value is not a version. */
  static SentVersion decodeSent(Object value) {
    return value instanceof Map<?, ?> fields
        ? new SentVersion(decode(fields), fields.containsKey("text"))
        : null;
  }

  /** Throws if the outcome is not known to this release. */
  static HistoryEntry decodeHistoryEntry(Map<?, ?> fields) {
    return new HistoryEntry(
        decode(fields),
        VersionOutcome.valueOf(MessageCodec.getText(fields, "end")),
        MessageCodec.getText(fields, "reason"));
  }

  static SettingsVersion withText(SettingsVersion version, String text) {
    return new SettingsVersion(
        version.number(),
        text,
        version.routers(),
        version.proposer(),
        version.reason(),
        version.proposedAtMillis());
  }
}
