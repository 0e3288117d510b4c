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
 * Speaks the bench's wire: reads batches, hands each event to its instance, writes one reply a
 * batch.
 */
public final class Adapter {
  private static final int HEADER = 20;
  private static final int LISTS = 16;

  /** The least length of each event's fields, by code; 0 where there is no such event. */
  private static final int[] LEAST = {0, 12, 13, 39, 15, 23, 4, 4, 13, 4, 0, 8, 2};

  private final InputStream in;
  private final OutputStream out;
  private final Reply reply = new Reply();
  private final ByteBuffer[] lists = new ByteBuffer[LISTS];
  private Instance[] instances = new Instance[64];
  private byte[] bytes = new byte[1 << 16];

  public Adapter(InputStream in, OutputStream out) {
    this.in = new BufferedInputStream(in, 1 << 16);
    this.out = out;
  }

  public void run() throws IOException, MalformedFrameException {
    while (read(HEADER)) {
      ByteBuffer header = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
      int length = header.getInt(0);
      Moment now = new Moment(header.getLong(4));
      int records = header.getInt(12);
      reply.begin(header.getInt(16));
      if (length < 0 || records < 0) {
        throw new MalformedFrameException(
            "a batch states a length of "
                + (length & 0xffffffffL)
                + " bytes and "
                + (records & 0xffffffffL)
                + " records");
      }
      if (length > 0 && !read(length)) {
        throw new MalformedFrameException("input ends inside a batch");
      }
      batch(ByteBuffer.wrap(bytes, 0, length).order(ByteOrder.LITTLE_ENDIAN), now, records);
      reply.send(out);
    }
  }

  private boolean read(int length) throws IOException, MalformedFrameException {
    int have = 0;
    while (have < length) {
      // The buffer grows with what has really come, so that a wild length can't exhaust the memory.
      if (have == bytes.length) {
        bytes = java.util.Arrays.copyOf(bytes, (int) Math.min(2L * have, Integer.MAX_VALUE - 8));
      }
      int got = in.read(bytes, have, Math.min(length, bytes.length) - have);
      if (got < 0) {
        if (have == 0) {
          return false;
        }
        throw new MalformedFrameException("input ends inside a batch");
      }
      have += got;
    }
    return true;
  }

  private void batch(ByteBuffer fields, Moment now, int records) throws MalformedFrameException {
    int at = 0;
    int number = -1;
    for (int i = 0; i < records; i++) {
      if (at + 5 > fields.limit()) {
        throw new MalformedFrameException(
            "a batch states " + records + " records and ends after " + i);
      }
      int code = fields.get(at) & 0xff;
      int length = fields.getInt(at + 1);
      at += 5;
      if (length < 0 || length > fields.limit() - at) {
        throw new MalformedFrameException(
            "record " + i + " of code " + code + " reaches past its batch");
      }
      if (code > 0 && code < LEAST.length) {
        if (length < LEAST[code]) {
          throw new MalformedFrameException(
              "record " + i + " of code " + code + " has only " + length + " bytes");
        }
        if (code == 12) {
          number = fields.getShort(at) & 0xffff;
        } else if (code == 11) {
          list(fields, at, length);
        } else {
          event(fields, now, number, code, at, length);
        }
      }
      at += length;
    }
    if (at != fields.limit()) {
      throw new MalformedFrameException(
          "a batch has " + (fields.limit() - at) + " bytes after its last record");
    }
  }

  private void list(ByteBuffer fields, int at, int length) throws MalformedFrameException {
    int number = fields.getInt(at);
    int count = fields.getInt(at + 4);
    if (number < 0 || number >= LISTS) {
      throw new MalformedFrameException("a list has the number " + (number & 0xffffffffL));
    }
    if (count < 0 || 8 + (long) count * Instance.ENTRY > length) {
      throw new MalformedFrameException(
          "list "
              + number
              + " states "
              + (count & 0xffffffffL)
              + " entries in "
              + length
              + " bytes");
    }
    byte[] entries = new byte[count * Instance.ENTRY];
    fields.get(at + 8, entries);
    lists[number] = ByteBuffer.wrap(entries).order(ByteOrder.LITTLE_ENDIAN);
  }

  private void event(ByteBuffer in, Moment now, int number, int code, int at, int length)
      throws MalformedFrameException {
    if (number < 0) {
      throw new MalformedFrameException(
          "an event of code " + code + " comes before any instance is named");
    }
    if (code == 1) {
      spawn(in, now, number, at, length);
      return;
    }
    Instance instance = number < instances.length ? instances[number] : null;
    if (instance == null) {
      throw new MalformedFrameException(
          "an event of code " + code + " is for instance " + number + ", which is not running");
    }
    if (code == 8 && length < 13 + 4 * (in.get(at + 12) & 0xff)) {
      throw new MalformedFrameException("a report is cut short");
    }
    ByteBuffer entries = null;
    if (code == 2 && in.get(at) != 0) {
      int list = in.getInt(at + 9);
      entries = list >= 0 && list < LISTS ? lists[list] : null;
      if (entries == null) {
        throw new MalformedFrameException("list " + (list & 0xffffffffL) + " was never given");
      }
    }
    try {
      switch (code) {
        case 2 -> instance.list(now, in.get(at), entries);
        case 3 -> instance.incoming(now, in, at);
        case 5 -> instance.outcome(now, in, at);
        case 6 -> instance.clientLeft(now, in, at);
        case 7 -> instance.woken(now);
        case 8 -> instance.polled(now, in, at);
        case 10 -> instances[number] = null;
        // Streams and messages between routers have no part in these decisions.
        default -> {}
      }
    } catch (RuntimeException cause) {
      StackTraceElement[] where = cause.getStackTrace();
      instance.broken(cause + (where.length > 0 ? " at " + where[0] : ""));
    }
  }

  private void spawn(ByteBuffer in, Moment now, int number, int at, int length)
      throws MalformedFrameException {
    int size = in.getInt(at + 8);
    if (size < 0 || size > length - 12) {
      throw new MalformedFrameException(
          "the settings of instance " + number + " reach past their record");
    }
    byte[] text = new byte[size];
    in.get(at + 12, text);
    if (number >= instances.length) {
      instances = java.util.Arrays.copyOf(instances, number + 64);
    }
    try {
      instances[number] =
          new Instance(
              number, reply, in.getLong(at), new String(text, StandardCharsets.UTF_8), now);
    } catch (InvalidSettingsException fault) {
      throw new MalformedFrameException(
          "settings of instance " + number + ": " + fault.getMessage());
    }
  }
}
