package basaltlever.storage;

import basaltlever.snapshot.EndpointState;
import basaltlever.snapshot.EndpointStateBuilder;
import basaltlever.snapshot.GroupState;
import basaltlever.snapshot.LearnedState;
import basaltlever.snapshot.StoredEndpoint;
import basaltlever.time.Span;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Decodes one snapshot file; see {@link SnapshotFormat}. */
final class SnapshotDecoder {
  private final byte[] file;

  /** Offset of the first byte after all records, where the digest begins. */
  private final int end;

  private final List<StoredEndpoint> endpoints = new ArrayList<>();
  private final List<GroupState> groups = new ArrayList<>();

  SnapshotDecoder(byte[] file) {
    this.file = file;
    end = file.length - SnapshotFormat.DIGEST_BYTES;
  }

  LearnedState decode() throws InvalidSnapshotException {
    ByteBuffer in = ByteBuffer.wrap(file);
    checkHeader(in);
    checkDigest();
    RecordFields description = RecordFields.readNext(in, end);
    int records = 0;
    while (in.position() < end) {
      decodeRecord(RecordFields.readNext(in, end));
      records++;
    }
    if (!description.text(SnapshotFormat.KIND).equals(SnapshotFormat.KIND_SNAPSHOT)
        || description.integer(SnapshotFormat.RECORD_COUNT) != records) {
      throw InvalidSnapshotException.atOffset(
          SnapshotFormat.HEADER_BYTES, "the first record does not match the records that follow");
    }
    return buildState(description);
  }

  private void checkHeader(ByteBuffer in) throws InvalidSnapshotException {
    if (file.length < SnapshotFormat.HEADER_BYTES + SnapshotFormat.DIGEST_BYTES) {
      throw InvalidSnapshotException.forFile(
          "it ends after " + file.length + " bytes, too short for its header and digest");
    }
    if (in.getInt() != SnapshotFormat.MAGIC) {
      throw InvalidSnapshotException.atOffset(
          0, "the file is not a snapshot: its magic number does not match");
    }
    int format = in.getInt();
    if (format != SnapshotFormat.FORMAT_VERSION) {
      throw InvalidSnapshotException.atOffset(
          Integer.BYTES,
          "format " + format + ", where this program reads " + SnapshotFormat.FORMAT_VERSION);
    }
  }

  private void checkDigest() throws InvalidSnapshotException {
    byte[] stored = Arrays.copyOfRange(file, end, file.length);
    if (!MessageDigest.isEqual(RecordFraming.digest(file, end), stored)) {
      throw InvalidSnapshotException.atOffset(
          findDamageOffset(), "the digest of the file does not match");
    }
  }

  /** Returns the offset of the first invalid record, or of the digest if all records are valid. */
  private int findDamageOffset() {
    ByteBuffer in = ByteBuffer.wrap(file).position(SnapshotFormat.HEADER_BYTES);
    while (in.position() < end) {
      int offset = in.position();
      try {
        RecordFields.readNext(in, end);
      } catch (InvalidSnapshotException damaged) {
        return offset;
      }
    }
    return end;
  }

  private void decodeRecord(RecordFields record) throws InvalidSnapshotException {
    switch (record.text(SnapshotFormat.KIND)) {
      case SnapshotFormat.KIND_ENDPOINT -> endpoints.add(decodeEndpoint(record));
      case SnapshotFormat.KIND_GROUP -> groups.add(decodeGroup(record));
      default -> {
        // Ignores record kinds of later releases.
      }
    }
  }

  private LearnedState buildState(RecordFields description) throws InvalidSnapshotException {
    return new LearnedState(
        description.text(SnapshotFormat.DEPLOYMENT),
        description.text(SnapshotFormat.ROUTER),
        description.integer(SnapshotFormat.SEQUENCE),
        description.integer(SnapshotFormat.WRITTEN_AT_MICROS),
        description.integer(SnapshotFormat.MONOTONIC_MICROS),
        description.text(SnapshotFormat.BOOT_ID),
        description.integer(SnapshotFormat.LIST_VERSION),
        endpoints,
        groups);
  }

  private static StoredEndpoint decodeEndpoint(RecordFields record)
      throws InvalidSnapshotException {
    double max = SnapshotFormat.MAX_NUMBER;
    EndpointState state =
        new EndpointStateBuilder()
            .group(decodeGroupNumber(record))
            .listedStartMicros(record.integer(SnapshotFormat.LISTED_START))
            .draining(record.flag(SnapshotFormat.DRAINING))
            .primary(record.flag(SnapshotFormat.PRIMARY))
            .sinceStart(record.spanSince(SnapshotFormat.SINCE_START))
            .sinceNotPrimary(record.spanSince(SnapshotFormat.SINCE_NOT_PRIMARY))
            .unresponsive(record.flag(SnapshotFormat.UNRESPONSIVE))
            .downFor(record.spanSince(SnapshotFormat.DOWN_FOR))
            .failureRate(record.share(SnapshotFormat.FAILURE_RATE))
            .latencyStrain(record.number(SnapshotFormat.LATENCY_STRAIN, -max, max, 0))
            .capacity(record.number(SnapshotFormat.CAPACITY, 0, max, max))
            .consecutiveRejections(decodeConsecutiveRejections(record))
            .remainingBackoff(record.span(SnapshotFormat.REMAINING_BACKOFF))
            .lag(new Span((long) record.number(SnapshotFormat.LAG, 0, max, 0)))
            .slowStartSpent(record.number(SnapshotFormat.SLOW_START_SPENT, 0, max, 0))
            .sinceSlowStartSpent(record.spanSince(SnapshotFormat.SINCE_SLOW_START_SPENT))
            .build();
    return new StoredEndpoint(
        record.text(SnapshotFormat.ID), record.text(SnapshotFormat.ADDRESS), state);
  }

  private static GroupState decodeGroup(RecordFields record) throws InvalidSnapshotException {
    return new GroupState(
        decodeGroupNumber(record),
        record.share(SnapshotFormat.CONGESTION),
        record.share(SnapshotFormat.PRIMARY_CONGESTION));
  }

  private static int decodeGroupNumber(RecordFields record) throws InvalidSnapshotException {
    return (int) record.number(SnapshotFormat.GROUP, 0, Integer.MAX_VALUE, 0);
  }

  private static int decodeConsecutiveRejections(RecordFields record)
      throws InvalidSnapshotException {
    return (int)
        record.number(
            SnapshotFormat.CONSECUTIVE_REJECTIONS, 0, SnapshotFormat.MAX_CONSECUTIVE_REJECTIONS, 0);
  }
}
