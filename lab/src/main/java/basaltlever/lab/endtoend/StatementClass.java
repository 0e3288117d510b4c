package basaltlever.lab.endtoend;

/** One class of statements: its settings for routers and the mean work of servers for it. */
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
  /** Effect of executing a statement twice, with the value used in the settings. */
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

  /** Returns the JSON object of this class in a router's settings; durations in microseconds. */
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
