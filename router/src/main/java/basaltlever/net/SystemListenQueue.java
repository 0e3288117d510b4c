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
 * What the system allows a listen queue to hold, and how often one was full; on Linux, elsewhere
 * nothing is known.
 */
final class SystemListenQueue {
  private static final Logger LOG = LoggerFactory.getLogger(SystemListenQueue.class);
  private static final Path LONGEST = Path.of("/proc/sys/net/core/somaxconn");
  private static final Path STATISTICS = Path.of("/proc/net/netstat");
  private static final String SECTION = "TcpExt:";
  private static final String OVERFLOWS = "ListenOverflows";
  private static final int MOST_DIGITS = 32;
  private final int wanted;
  private long overflows = overflows();

  SystemListenQueue(int wanted) {
    this.wanted = wanted;
  }

  /** As many as are wanted, or what the system allows, which is logged where it is less. */
  int length() {
    int longest = wanted;
    try (FileInputStream in = new FileInputStream(LONGEST.toFile())) {
      // In one piece: the system gives nothing of such a file to a second read.
      byte[] text = new byte[MOST_DIGITS];
      int read = in.read(text);
      longest =
          Integer.parseInt(
              new String(text, 0, Math.max(0, read), StandardCharsets.US_ASCII).strip());
    } catch (IOException | NumberFormatException untold) {
      // Then the system cuts it by itself, and what waits is taken to have waited longer than it
      // has.
    }
    if (longest < wanted) {
      Event.LISTEN_QUEUE.log(
          LOG,
          Level.WARN,
          "bursts of new clients beyond this are not accepted at once",
          longest,
          wanted);
    }
    return Math.max(1, Math.min(wanted, longest));
  }

  /** Since the last time this was asked; of all listeners on this machine. */
  long newOverflows() {
    long before = overflows;
    overflows = overflows();
    return Math.max(0, overflows - before);
  }

  /** The file has a line of names and a line of values for each section. */
  private static long overflows() {
    try {
      List<String> lines =
          Files.readAllLines(STATISTICS).stream().filter(line -> line.startsWith(SECTION)).toList();
      int column = lines.isEmpty() ? -1 : List.of(lines.get(0).split(" ")).indexOf(OVERFLOWS);
      return column < 0 ? 0 : Long.parseLong(lines.get(1).split(" ")[column]);
    } catch (IOException | RuntimeException untold) {
      return 0;
    }
  }
}
