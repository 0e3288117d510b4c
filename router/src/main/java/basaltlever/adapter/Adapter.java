package basaltlever.adapter;

import basaltlever.config.InvalidSettingsException;
import basaltlever.time.Moment;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/**
 * Reads batches of events from the simulator, passes each event to its router instance, and writes
 * one reply per batch.
 */
public final class Adapter {
  private static final int HEADER_BYTES = 20;
  private static final int MAX_LISTS = 16;

  /** Minimum length in bytes of the fields of each event, by event code; 0 for unused codes. */
  private static final int[] MIN_FIELD_BYTES = {0, 12, 13, 39, 15, 23, 4, 4, 13, 4, 0, 8, 2};

  private final InputStream in;
  private final OutputStream out;
  private final Reply reply = new Reply();
  private final ByteBuffer[] endpointLists = new ByteBuffer[MAX_LISTS];
  private Instance[] instances = new Instance[64];
  private byte[] buffer = new byte[1 << 16];

  public Adapter(InputStream in, OutputStream out) {
    this.in = new BufferedInputStream(in, 1 << 16);
    this.out = out;
  }

  public void run() throws IOException, MalformedFrameException {
    while (readFully(HEADER_BYTES)) {
      ByteBuffer header = ByteBuffer.wrap(buffer).order(ByteOrder.LITTLE_ENDIAN);
      int length = header.getInt(0);
      Moment now = new Moment(header.getLong(4));
      int recordCount = header.getInt(12);
      reply.startFrame(header.getInt(16));
      if (length < 0 || recordCount < 0) {
        throw new MalformedFrameException(
            "batch header states a length of "
                + (length & 0xffffffffL)
                + " bytes and "
                + (recordCount & 0xffffffffL)
                + " records");
      }
      if (length > 0 && !readFully(length)) {
        throw new MalformedFrameException("input ends inside a batch");
      }
      processBatch(
          ByteBuffer.wrap(buffer, 0, length).order(ByteOrder.LITTLE_ENDIAN), now, recordCount);
      reply.send(out);
    }
  }

  private boolean readFully(int length) throws IOException, MalformedFrameException {
    int filled = 0;
    while (filled < length) {
      // The buffer grows with the bytes received, so that an invalid length can't exhaust the heap.
      if (filled == buffer.length) {
        buffer =
            java.util.Arrays.copyOf(buffer, (int) Math.min(2L * filled, Integer.MAX_VALUE - 8));
      }
      int count = in.read(buffer, filled, Math.min(length, buffer.length) - filled);
      if (count < 0) {
        if (filled == 0) {
          return false;
        }
        throw new MalformedFrameException("input ends inside a batch");
      }
      filled += count;
    }
    return true;
  }

  private void processBatch(ByteBuffer fields, Moment now, int recordCount)
      throws MalformedFrameException {
    int offset = 0;
    int instanceNumber = -1;
    for (int i = 0; i < recordCount; i++) {
      if (offset + 5 > fields.limit()) {
        throw new MalformedFrameException(
            "batch header states " + recordCount + " records, but the batch ends after " + i);
      }
      int code = fields.get(offset) & 0xff;
      int length = fields.getInt(offset + 1);
      offset += 5;
      if (length < 0 || length > fields.limit() - offset) {
        throw new MalformedFrameException(
            "record " + i + " with code " + code + " reaches past its batch");
      }
      if (code > 0 && code < MIN_FIELD_BYTES.length) {
        if (length < MIN_FIELD_BYTES[code]) {
          throw new MalformedFrameException(
              "record " + i + " with code " + code + " has only " + length + " bytes");
        }
        if (code == 12) {
          instanceNumber = fields.getShort(offset) & 0xffff;
        } else if (code == 11) {
          storeEndpointList(fields, offset, length);
        } else {
          processEvent(fields, now, instanceNumber, code, offset, length);
        }
      }
      offset += length;
    }
    if (offset != fields.limit()) {
      throw new MalformedFrameException(
          "batch has " + (fields.limit() - offset) + " bytes after its last record");
    }
  }

  private void storeEndpointList(ByteBuffer fields, int offset, int length)
      throws MalformedFrameException {
    int number = fields.getInt(offset);
    int count = fields.getInt(offset + 4);
    if (number < 0 || number >= MAX_LISTS) {
      throw new MalformedFrameException("list number out of range: " + (number & 0xffffffffL));
    }
    if (count < 0 || 8 + (long) count * Instance.LIST_ENTRY_BYTES > length) {
      throw new MalformedFrameException(
          "list "
              + number
              + " states "
              + (count & 0xffffffffL)
              + " entries in "
              + length
              + " bytes");
    }
    byte[] entries = new byte[count * Instance.LIST_ENTRY_BYTES];
    fields.get(offset + 8, entries);
    endpointLists[number] = ByteBuffer.wrap(entries).order(ByteOrder.LITTLE_ENDIAN);
  }

  private void processEvent(
      ByteBuffer fields, Moment now, int instanceNumber, int code, int offset, int length)
      throws MalformedFrameException {
    if (instanceNumber < 0) {
      throw new MalformedFrameException(
          "event with code " + code + " precedes the first instance record");
    }
    if (code == 1) {
      startInstance(fields, now, instanceNumber, offset, length);
      return;
    }
    Instance instance = instanceNumber < instances.length ? instances[instanceNumber] : null;
    if (instance == null) {
      throw new MalformedFrameException(
          "event with code "
              + code
              + " is for instance "
              + instanceNumber
              + ", which is not running");
    }
    if (code == 8 && length < 13 + 4 * (fields.get(offset + 12) & 0xff)) {
      throw new MalformedFrameException(
          "load report is shorter than its number of values requires");
    }
    ByteBuffer entries = null;
    if (code == 2 && fields.get(offset) != 0) {
      int list = fields.getInt(offset + 9);
      entries = list >= 0 && list < MAX_LISTS ? endpointLists[list] : null;
      if (entries == null) {
        throw new MalformedFrameException("list " + (list & 0xffffffffL) + " was never given");
      }
    }
    try {
      switch (code) {
        case 2 -> instance.onList(now, fields.get(offset), entries);
        case 3 -> instance.onRequest(now, fields, offset);
        case 5 -> instance.onAttemptEnded(now, fields, offset);
        case 6 -> instance.onClientDisconnected(now, fields, offset);
        case 7 -> instance.onTimerFired(now);
        case 8 -> instance.onPollEnded(now, fields, offset);
        case 10 -> instances[instanceNumber] = null;
        // Streams and messages between routers do not affect routing decisions.
        default -> {}
      }
    } catch (RuntimeException cause) {
      StackTraceElement[] stackTrace = cause.getStackTrace();
      instance.sendFailure(cause + (stackTrace.length > 0 ? " at " + stackTrace[0] : ""));
    }
  }

  private void startInstance(
      ByteBuffer fields, Moment now, int instanceNumber, int offset, int length)
      throws MalformedFrameException {
    int size = fields.getInt(offset + 8);
    if (size < 0 || size > length - 12) {
      throw new MalformedFrameException(
          "settings of instance " + instanceNumber + " reach past their record");
    }
    byte[] text = new byte[size];
    fields.get(offset + 12, text);
    if (instanceNumber >= instances.length) {
      instances = java.util.Arrays.copyOf(instances, instanceNumber + 64);
    }
    try {
      instances[instanceNumber] =
          new Instance(
              instanceNumber,
              reply,
              fields.getLong(offset),
              new String(text, StandardCharsets.UTF_8),
              now);
    } catch (InvalidSettingsException e) {
      throw new MalformedFrameException(
          "settings of instance " + instanceNumber + ": " + e.getMessage());
    }
  }
}
