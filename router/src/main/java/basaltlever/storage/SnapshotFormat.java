package basaltlever.storage;

/**
 * The file format of snapshots: a header of magic number and format version, records, and the
 * SHA-256 of all preceding bytes. Each record is framed by its length and CRC32C and contains one
 * CBOR map. The first record describes the snapshot, each other record an endpoint or a replica
 * group.
 *
 * <p>Readers ignore unknown keys and record kinds and use defaults for missing keys, so that
 * releases can read each other's files. Only another format version is rejected.
 */
final class SnapshotFormat {
  static final int MAGIC = 0x424C5657;
  static final int FORMAT_VERSION = 1;
  static final int HEADER_BYTES = 8;
  static final int FRAME_HEADER_BYTES = 8;
  static final int DIGEST_BYTES = 32;
  static final int MAX_RECORD_BYTES = 4_096;
  static final int MAX_NAME_CHARS = 512;

  /** Upper bound of all numbers; as microseconds, more than 300 years. */
  static final double MAX_NUMBER = 1e16;

  static final int MAX_CONSECUTIVE_REJECTIONS = 1_000;

  /** Keys of all records. */
  static final String KIND = "kind";

  static final String KIND_SNAPSHOT = "view";
  static final String KIND_ENDPOINT = "node";
  static final String KIND_GROUP = "group";

  /** Keys of the first record. */
  static final String DEPLOYMENT = "deployment";

  static final String ROUTER = "router";
  static final String SEQUENCE = "number";
  static final String WRITTEN_AT_MICROS = "written";
  static final String MONOTONIC_MICROS = "steady";
  static final String BOOT_ID = "boot";
  static final String LIST_VERSION = "listed";
  static final String RECORD_COUNT = "records";

  /** Keys of endpoints and groups. */
  static final String GROUP = "group";

  static final String ID = "id";
  static final String ADDRESS = "address";
  static final String LISTED_START = "start";
  static final String DRAINING = "drains";
  static final String PRIMARY = "primary";
  static final String SINCE_START = "started";
  static final String SINCE_NOT_PRIMARY = "denied";
  static final String UNRESPONSIVE = "silent";
  static final String DOWN_FOR = "down";
  static final String FAILURE_RATE = "failing";
  static final String LATENCY_STRAIN = "strained";
  static final String CAPACITY = "room";
  static final String CONSECUTIVE_REJECTIONS = "full";
  static final String REMAINING_BACKOFF = "rests";
  static final String LAG = "lag";
  static final String SLOW_START_SPENT = "spent";
  static final String SINCE_SLOW_START_SPENT = "spent_ago";
  static final String CONGESTION = "jam";
  static final String PRIMARY_CONGESTION = "primary_jam";

  private SnapshotFormat() {}
}
