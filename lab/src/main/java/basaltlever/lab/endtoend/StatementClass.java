package basaltlever.lab.endtoend;

/**
 * One class of statements as the settings tell routers of it, with the work that servers have with
 * it.
 */
record StatementClass(
    String key,
    double share,
    long sloMillis,
    long deadlineMillis,
    double workMillis,
    Effect effect,
    long windowMillis,
    String read,
    long boundMillis,
    double worth) {
  /** What running a statement twice does, in the words of the settings. */
  enum Effect {
    IDEMPOTENT("idempotent"),
    DEDUPLICATED("deduplicated"),
    AT_MOST_ONCE("at_most_once");

    final String key;

    Effect(String key) {
      this.key = key;
    }
  }

  boolean isWrite() {
    return read.equals("write");
  }

  String settingsJson() {
    String window =
        effect == Effect.DEDUPLICATED
            ? ",\"Window\":" + windowMillis * 1_000 + ",\"Group\":\"cell\""
            : "";
    return "{\"Name\":\""
        + key
        + "\",\"Repeat\":\""
        + effect.key
        + "\",\"Slo\":"
        + sloMillis * 1_000
        + ",\"HardLimit\":"
        + deadlineMillis * 1_000
        + ",\"Worth\":"
        + worth
        + ",\"LateWorth\":"
        + (isWrite() ? 0.5 : 0)
        + window
        + "}";
  }
}
