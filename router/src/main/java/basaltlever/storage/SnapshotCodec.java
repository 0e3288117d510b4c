package basaltlever.storage;

import basaltlever.snapshot.EndpointState;
import basaltlever.snapshot.GroupState;
import basaltlever.snapshot.KnownEndpoint;
import basaltlever.snapshot.LearnedState;
import basaltlever.time.Span;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;

/**
 * A view as bytes: eight of magic and version, then records of length, CRC32C and a CBOR map, at
 * last the SHA-256 of all before. The first record describes the view, each other one a node or a
 * group. Readers pass over keys and kinds of record that they don't know and take defaults for
 * those that are missing, so that versions read each other; only another format number is refused.
 */
public final class SnapshotCodec {
  /** No view is larger, whatever the operator allows. */
  public static final int LARGEST = 16 << 20;

  static final int FORMAT = 1;
  private static final int MAGIC = 0x424C5657;
  private static final int HEAD = 8;
  private static final int FRAME = 8;
  private static final int SUM = 32;
  private static final int LONGEST_RECORD = 4_096;
  private static final int LONGEST_NAME = 512;

  /** Microseconds since long before there was Unix time. */
  private static final double MOST = 1e16;

  private static final CBORFactory CBOR = new CBORFactory();

  private SnapshotCodec() {}

  // ---- Writing.

  /**
   * At most as many bytes as given: beyond that the nodes of which little was learned are left out.
   */
  public static byte[] write(LearnedState view, int most) {
    int left = Math.min(most, LARGEST) - HEAD - FRAME - LONGEST_RECORD - SUM;
    List<byte[]> records = new ArrayList<>();
    List<KnownEndpoint> nodes = new ArrayList<>(view.nodes());
    nodes.sort(Comparator.comparing(known -> known.view().isUnremarkable()));
    List<byte[]> groups = new ArrayList<>();
    for (GroupState group : view.groups()) {
      groups.add(record(out -> group(out, group)));
    }
    for (KnownEndpoint known : nodes) {
      if (known.id().length() <= LONGEST_NAME && known.address().length() <= LONGEST_NAME) {
        records.add(record(out -> node(out, known)));
      }
    }
    records.addAll(groups);
    int kept = 0;
    while (kept < records.size() && records.get(kept).length + FRAME <= left) {
      left -= records.get(kept++).length + FRAME;
    }
    int records0 = kept;
    byte[] first = record(out -> head(out, view, records0));
    int size = HEAD + FRAME + first.length + SUM;
    for (byte[] record : records.subList(0, kept)) {
      size += FRAME + record.length;
    }
    ByteBuffer file = ByteBuffer.allocate(size).putInt(MAGIC).putInt(FORMAT);
    frame(file, first);
    records.subList(0, kept).forEach(record -> frame(file, record));
    return file.put(sum(file.array(), file.position())).array();
  }

  private interface Fields {
    void write(JsonGenerator out) throws IOException;
  }

  private static byte[] record(Fields fields) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
    try (JsonGenerator out = CBOR.createGenerator(bytes)) {
      out.writeStartObject();
      fields.write(out);
      out.writeEndObject();
    } catch (IOException impossible) {
      throw new java.io.UncheckedIOException(impossible);
    }
    return bytes.toByteArray();
  }

  private static void frame(ByteBuffer file, byte[] record) {
    file.putInt(record.length).putInt(crc(record, 0, record.length)).put(record);
  }

  private static void head(JsonGenerator out, LearnedState view, int records) throws IOException {
    out.writeStringField("kind", "view");
    out.writeStringField("deployment", view.deployment());
    out.writeStringField("router", view.router());
    out.writeNumberField("number", view.number());
    out.writeNumberField("written", view.writtenAt());
    out.writeNumberField("steady", view.steady());
    out.writeStringField("boot", view.boot());
    out.writeNumberField("listed", view.listed());
    out.writeNumberField("records", records);
  }

  private static void node(JsonGenerator out, KnownEndpoint known) throws IOException {
    EndpointState view = known.view();
    out.writeStringField("kind", "node");
    out.writeStringField("id", known.id());
    out.writeStringField("address", known.address());
    out.writeNumberField("group", view.group());
    out.writeNumberField("start", view.listedStart());
    flag(out, "drains", view.drains());
    flag(out, "primary", view.primary());
    span(out, "started", view.startedAgo());
    span(out, "denied", view.deniedAgo());
    flag(out, "silent", view.silent());
    span(out, "down", view.downFor());
    out.writeNumberField("failing", view.failing());
    out.writeNumberField("strained", view.strained());
    out.writeNumberField("room", view.room());
    out.writeNumberField("full", view.turnedAway());
    out.writeNumberField("rests", view.rests().micros());
    out.writeNumberField("lag", view.lag().micros());
    out.writeNumberField("spent", view.coldSpent());
    span(out, "spent_ago", view.coldAgo());
  }

  private static void group(JsonGenerator out, GroupState view) throws IOException {
    out.writeStringField("kind", "group");
    out.writeNumberField("group", view.group());
    out.writeNumberField("jam", view.jam());
    out.writeNumberField("primary_jam", view.primaryJam());
  }

  private static void flag(JsonGenerator out, String name, boolean set) throws IOException {
    if (set) {
      out.writeBooleanField(name, true);
    }
  }

  private static void span(JsonGenerator out, String name, Span ago) throws IOException {
    if (ago.isShorterThan(EndpointState.NEVER)) {
      out.writeNumberField(name, ago.micros());
    }
  }

  // ---- Reading.

  /**
   * Never throws anything else, whatever the bytes are, and takes up no more than a few times their
   * size.
   */
  public static LearnedState read(byte[] file) throws InvalidSnapshotException {
    if (file.length < HEAD + SUM) {
      throw new InvalidSnapshotException(
          "it ends after " + file.length + " bytes, before its head and its sum");
    }
    ByteBuffer in = ByteBuffer.wrap(file);
    if (in.getInt() != MAGIC) {
      throw new InvalidSnapshotException("byte 0: no view begins like this");
    }
    int format = in.getInt();
    if (format != FORMAT) {
      throw new InvalidSnapshotException(
          "byte 4: format " + format + ", where this program reads " + FORMAT);
    }
    int end = file.length - SUM;
    if (!MessageDigest.isEqual(sum(file, end), Arrays.copyOfRange(file, end, file.length))) {
      throw new InvalidSnapshotException(
          "byte " + whereBroken(file, end) + ": the sum over the file does not fit");
    }
    Map<String, Object> head = next(in, end);
    List<KnownEndpoint> nodes = new ArrayList<>();
    List<GroupState> groups = new ArrayList<>();
    int records = 0;
    while (in.position() < end) {
      int at = in.position();
      Map<String, Object> fields = next(in, end);
      RecordFields record = new RecordFields(fields, at);
      records++;
      switch (record.text("kind")) {
        case "node" -> nodes.add(node(record));
        case "group" ->
            groups.add(
                new GroupState(
                    (int) record.number("group", 0, Integer.MAX_VALUE, 0),
                    record.number("jam", 0, 1, 0),
                    record.number("primary_jam", 0, 1, 0)));
        default -> {}
      }
    }
    RecordFields first = new RecordFields(head, HEAD);
    if (!first.text("kind").equals("view") || first.whole("records", 0) != records) {
      throw new InvalidSnapshotException(
          "byte " + HEAD + ": the first record does not describe what follows");
    }
    return new LearnedState(
        first.text("deployment"),
        first.text("router"),
        first.whole("number", 0),
        first.whole("written", 0),
        first.whole("steady", 0),
        first.text("boot"),
        first.whole("listed", 0),
        nodes,
        groups);
  }

  private static KnownEndpoint node(RecordFields record) throws InvalidSnapshotException {
    EndpointState view =
        new EndpointState(
            (int) record.number("group", 0, Integer.MAX_VALUE, 0),
            record.whole("start", 0),
            record.flag("drains"),
            record.flag("primary"),
            record.span("started"),
            record.span("denied"),
            record.flag("silent"),
            record.span("down"),
            record.number("failing", 0, 1, 0),
            record.number("strained", -MOST, MOST, 0),
            record.number("room", 0, MOST, MOST),
            (int) record.number("full", 0, 1_000, 0),
            new Span((long) record.number("rests", -MOST, MOST, 0)),
            new Span((long) record.number("lag", 0, MOST, 0)),
            record.number("spent", 0, MOST, 0),
            record.span("spent_ago"));
    return new KnownEndpoint(record.text("id"), record.text("address"), view);
  }

  /** The record that its own checksum shows to be broken, or else the sum itself. */
  private static int whereBroken(byte[] file, int end) {
    ByteBuffer in = ByteBuffer.wrap(file).position(HEAD);
    while (in.position() < end) {
      int at = in.position();
      try {
        next(in, end);
      } catch (InvalidSnapshotException broken) {
        return at;
      }
    }
    return end;
  }

  private static Map<String, Object> next(ByteBuffer in, int end) throws InvalidSnapshotException {
    int at = in.position();
    if (end - at < FRAME) {
      throw new InvalidSnapshotException("byte " + at + ": half of a record");
    }
    int length = in.getInt();
    int crc = in.getInt();
    if (length < 0 || length > LONGEST_RECORD || length > end - in.position()) {
      throw new InvalidSnapshotException("byte " + at + ": a record of " + length + " bytes");
    }
    if (crc(in.array(), in.arrayOffset() + in.position(), length) != crc) {
      throw new InvalidSnapshotException("byte " + at + ": the record's checksum does not fit");
    }
    try (JsonParser parser =
        CBOR.createParser(in.array(), in.arrayOffset() + in.position(), length)) {
      in.position(in.position() + length);
      Map<String, Object> fields = new HashMap<>();
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new InvalidSnapshotException("byte " + at + ": the record is no map");
      }
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        String name = parser.currentName();
        JsonToken value = parser.nextToken();
        if (value == null) {
          throw new InvalidSnapshotException("byte " + at + ": the record ends within its map");
        } else if (value.isStructStart()) {
          parser.skipChildren();
        } else if (value == JsonToken.VALUE_NUMBER_INT
            && parser.getNumberType() != JsonParser.NumberType.BIG_INTEGER) {
          fields.put(name, parser.getLongValue());
        } else if (value == JsonToken.VALUE_NUMBER_FLOAT) {
          fields.put(name, parser.getDoubleValue());
        } else if (value == JsonToken.VALUE_STRING) {
          fields.put(name, parser.getText());
        } else if (value.isBoolean()) {
          fields.put(name, parser.getBooleanValue());
        }
      }
      return fields;
    } catch (IOException | RuntimeException broken) {
      // The library throws more than it declares on bytes that are no CBOR.
      throw new InvalidSnapshotException(
          "byte " + at + ": the record can't be read: " + broken.getClass().getSimpleName());
    }
  }

  /** The fields of a record, read with their bounds. */
  private record RecordFields(Map<String, Object> fields, int at) {
    String text(String name) throws InvalidSnapshotException {
      Object value = fields.getOrDefault(name, "");
      if (value instanceof String text && text.length() <= LONGEST_NAME) {
        return text;
      }
      throw fault(name);
    }

    boolean flag(String name) {
      return Boolean.TRUE.equals(fields.get(name));
    }

    long whole(String name, long otherwise) throws InvalidSnapshotException {
      if (fields.getOrDefault(name, otherwise) instanceof Long value && value >= 0) {
        return value;
      }
      throw fault(name);
    }

    double number(String name, double least, double most, double otherwise)
        throws InvalidSnapshotException {
      if (fields.getOrDefault(name, otherwise) instanceof Number value
          && value.doubleValue() >= least
          && value.doubleValue() <= most) {
        return value.doubleValue();
      }
      throw fault(name);
    }

    Span span(String name) throws InvalidSnapshotException {
      return fields.containsKey(name)
          ? new Span((long) number(name, -MOST, MOST, 0))
          : EndpointState.NEVER;
    }

    private InvalidSnapshotException fault(String name) {
      return new InvalidSnapshotException("byte " + at + ": " + name + " is out of its bounds");
    }
  }

  private static int crc(byte[] bytes, int from, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, from, length);
    return (int) crc.getValue();
  }

  private static byte[] sum(byte[] bytes, int length) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update(bytes, 0, length);
      return digest.digest();
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException("every runtime has SHA-256", impossible);
    }
  }
}
