package basaltlever.net;

import basaltlever.log.Event;
import java.io.FileInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Reads the system's limit on the length of listen queues, and how often one overflowed. Other
 * systems than Linux provide neither.
 */
final class SystemListenQueue {
  private static final Logger LOG = LoggerFactory.getLogger(SystemListenQueue.class);
  private static final Path MAX_LENGTH_FILE = Path.of("/proc/sys/net/core/somaxconn");
  private static final Path STATISTICS_FILE = Path.of("/proc/net/netstat");
  private static final String SECTION = "TcpExt:";
  private static final String OVERFLOWS = "ListenOverflows";
  private static final int MAX_FILE_BYTES = 32;
  private final int requestedLength;
  private long overflows = readOverflows();

  SystemListenQueue(int requestedLength) {
    this.requestedLength = requestedLength;
  }

  /**
   * Returns the requested length or the system's limit, whichever is less; a limit below the
   * request is logged.
   */
  int length() {
    int maxLength = requestedLength;
    try (FileInputStream in = new FileInputStream(MAX_LENGTH_FILE.toFile())) {
      // A single read: the system returns nothing for a second read of such a file.
      byte[] text = new byte[MAX_FILE_BYTES];
      int read = in.read(text);
      maxLength =
          Integer.parseInt(
              new String(text, 0, Math.max(0, read), StandardCharsets.US_ASCII).strip());
    } catch (IOException | NumberFormatException unreadable) {
      // The system then truncates the queue by itself, and the estimate of the waiting time in the
      // queue is too long rather than too short.
    }
    if (maxLength < requestedLength) {
      Event.LISTEN_QUEUE.log(
          LOG,
          Level.WARN,
          "the system limits the listen queue; larger bursts of new connections overflow it",
          maxLength,
          requestedLength);
    }
    return Math.max(1, Math.min(requestedLength, maxLength));
  }

  /** Returns the overflows of all listeners on this machine since the last call. */
  long newOverflows() {
    long before = overflows;
    overflows = readOverflows();
    return Math.max(0, overflows - before);
  }

  /**
   * Reads the overflow counter. The file has a line of names and a line of values for each section.
   */
  private static long readOverflows() {
    try {
      List<String> lines =
          Files.readAllLines(STATISTICS_FILE).stream()
              .filter(line -> line.startsWith(SECTION))
              .toList();
      int column = lines.isEmpty() ? -1 : List.of(lines.get(0).split(" ")).indexOf(OVERFLOWS);
      return column < 0 ? 0 : Long.parseLong(lines.get(1).split(" ")[column]);
    } catch (IOException | RuntimeException unreadable) {
      return 0;
    }
  }
}
