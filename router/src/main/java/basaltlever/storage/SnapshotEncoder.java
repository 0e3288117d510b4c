package basaltlever.storage;

import basaltlever.snapshot.EndpointState;
import basaltlever.snapshot.GroupState;
import basaltlever.snapshot.LearnedState;
import basaltlever.snapshot.StoredEndpoint;
import basaltlever.time.Span;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Encodes a learned state as a snapshot file; see {@link SnapshotFormat}. */
final class SnapshotEncoder {
  private static final CBORFactory CBOR = new CBORFactory();

  /** Initial buffer size, in which a typical record fits. */
  private static final int TYPICAL_RECORD_BYTES = 256;

  private SnapshotEncoder() {}

  static byte[] encode(LearnedState state, int maxBytes) {
    List<byte[]> records = selectFitting(encodeRecords(state), maxBytes);
    byte[] description = encodeRecord(out -> writeDescription(out, state, records.size()));
    int size = SnapshotFormat.HEADER_BYTES + framedBytes(description) + SnapshotFormat.DIGEST_BYTES;
    for (byte[] record : records) {
      size += framedBytes(record);
    }
    ByteBuffer file =
        ByteBuffer.allocate(size)
            .putInt(SnapshotFormat.MAGIC)
            .putInt(SnapshotFormat.FORMAT_VERSION);
    RecordFraming.append(file, description);
    records.forEach(record -> RecordFraming.append(file, record));
    return file.put(RecordFraming.digest(file.array(), file.position())).array();
  }

  /**
   * Encodes one record for each endpoint, ending with unremarkable endpoints, and then for each
   * group.
   */
  private static List<byte[]> encodeRecords(LearnedState state) {
    List<StoredEndpoint> endpoints = new ArrayList<>(state.endpoints());
    endpoints.sort(Comparator.comparing(endpoint -> endpoint.state().isUnremarkable()));
    List<byte[]> records = new ArrayList<>();
    for (StoredEndpoint endpoint : endpoints) {
      if (endpoint.id().length() <= SnapshotFormat.MAX_NAME_CHARS
          && endpoint.address().length() <= SnapshotFormat.MAX_NAME_CHARS) {
        records.add(encodeRecord(out -> writeEndpoint(out, endpoint)));
      }
    }
    for (GroupState group : state.groups()) {
      records.add(encodeRecord(out -> writeGroup(out, group)));
    }
    return records;
  }

  /**
   * Selects as many of the first records as fit into the file together with the largest possible
   * description.
   */
  private static List<byte[]> selectFitting(List<byte[]> records, int maxBytes) {
    int remainingBytes =
        maxBytes
            - SnapshotFormat.HEADER_BYTES
            - SnapshotFormat.FRAME_HEADER_BYTES
            - SnapshotFormat.MAX_RECORD_BYTES
            - SnapshotFormat.DIGEST_BYTES;
    int count = 0;
    while (count < records.size() && framedBytes(records.get(count)) <= remainingBytes) {
      remainingBytes -= framedBytes(records.get(count));
      count++;
    }
    return records.subList(0, count);
  }

  private static int framedBytes(byte[] record) {
    return SnapshotFormat.FRAME_HEADER_BYTES + record.length;
  }

  private interface FieldWriter {
    void write(JsonGenerator out) throws IOException;
  }

  private static byte[] encodeRecord(FieldWriter fields) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(TYPICAL_RECORD_BYTES);
    try (JsonGenerator out = CBOR.createGenerator(bytes)) {
      out.writeStartObject();
      fields.write(out);
      out.writeEndObject();
    } catch (IOException impossible) {
      throw new UncheckedIOException(impossible);
    }
    return bytes.toByteArray();
  }

  private static void writeDescription(JsonGenerator out, LearnedState state, int records)
      throws IOException {
    out.writeStringField(SnapshotFormat.KIND, SnapshotFormat.KIND_SNAPSHOT);
    out.writeStringField(SnapshotFormat.DEPLOYMENT, state.deployment());
    out.writeStringField(SnapshotFormat.ROUTER, state.router());
    out.writeNumberField(SnapshotFormat.SEQUENCE, state.sequence());
    out.writeNumberField(SnapshotFormat.WRITTEN_AT_MICROS, state.writtenAtMicros());
    out.writeNumberField(SnapshotFormat.MONOTONIC_MICROS, state.monotonicMicros());
    out.writeStringField(SnapshotFormat.BOOT_ID, state.bootId());
    out.writeNumberField(SnapshotFormat.LIST_VERSION, state.listVersion());
    out.writeNumberField(SnapshotFormat.RECORD_COUNT, records);
  }

  private static void writeEndpoint(JsonGenerator out, StoredEndpoint endpoint) throws IOException {
    EndpointState state = endpoint.state();
    out.writeStringField(SnapshotFormat.KIND, SnapshotFormat.KIND_ENDPOINT);
    out.writeStringField(SnapshotFormat.ID, endpoint.id());
    out.writeStringField(SnapshotFormat.ADDRESS, endpoint.address());
    out.writeNumberField(SnapshotFormat.GROUP, state.group());
    out.writeNumberField(SnapshotFormat.LISTED_START, state.listedStartMicros());
    writeFlag(out, SnapshotFormat.DRAINING, state.draining());
    writeFlag(out, SnapshotFormat.PRIMARY, state.primary());
    writeSpanSince(out, SnapshotFormat.SINCE_START, state.sinceStart());
    writeSpanSince(out, SnapshotFormat.SINCE_NOT_PRIMARY, state.sinceNotPrimary());
    writeFlag(out, SnapshotFormat.UNRESPONSIVE, state.unresponsive());
    writeSpanSince(out, SnapshotFormat.DOWN_FOR, state.downFor());
    out.writeNumberField(SnapshotFormat.FAILURE_RATE, state.failureRate());
    out.writeNumberField(SnapshotFormat.LATENCY_STRAIN, state.latencyStrain());
    out.writeNumberField(SnapshotFormat.CAPACITY, state.capacity());
    out.writeNumberField(SnapshotFormat.CONSECUTIVE_REJECTIONS, state.consecutiveRejections());
    out.writeNumberField(SnapshotFormat.REMAINING_BACKOFF, state.remainingBackoff().micros());
    out.writeNumberField(SnapshotFormat.LAG, state.lag().micros());
    out.writeNumberField(SnapshotFormat.SLOW_START_SPENT, state.slowStartSpent());
    writeSpanSince(out, SnapshotFormat.SINCE_SLOW_START_SPENT, state.sinceSlowStartSpent());
  }

  private static void writeGroup(JsonGenerator out, GroupState state) throws IOException {
    out.writeStringField(SnapshotFormat.KIND, SnapshotFormat.KIND_GROUP);
    out.writeNumberField(SnapshotFormat.GROUP, state.group());
    out.writeNumberField(SnapshotFormat.CONGESTION, state.congestion());
    out.writeNumberField(SnapshotFormat.PRIMARY_CONGESTION, state.primaryCongestion());
  }

  /** Writes a flag; a flag that is not set is omitted. */
  private static void writeFlag(JsonGenerator out, String name, boolean set) throws IOException {
    if (set) {
      out.writeBooleanField(name, true);
    }
  }

  /** Writes the time since an event; an event that has not happened is omitted. */
  private static void writeSpanSince(JsonGenerator out, String name, Span span) throws IOException {
    if (span.isShorterThan(EndpointState.NEVER)) {
      out.writeNumberField(name, span.micros());
    }
  }
}
