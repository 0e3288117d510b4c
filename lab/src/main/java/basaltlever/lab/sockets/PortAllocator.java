package basaltlever.lab.sockets;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Ports for the processes of one run, none of them given twice: what is free when it is looked at
 * may be another process's of the same run by the time that its own one listens.
 */
public final class PortAllocator {
  /**
   * Below those that the system gives to whoever asks for any: clients spoke to a server's front
   * there.
   */
  private static final int MIN_PORT = 10_000;

  private static final int PORT_LIMIT = 30_000;

  /** A voter's failure detector listens so far above it. */
  private static final int FAILURE_DETECTOR_OFFSET = 1_000;

  private static final int MAX_TRIES = 1_000;
  private final Set<Integer> allocated = new HashSet<>();

  /**
   * Throws where none is free. Chance is the machine's, since other runs draw from the same ports.
   */
  public int allocate() throws IOException {
    for (int tries = 0; tries < MAX_TRIES; tries++) {
      int port = ThreadLocalRandom.current().nextInt(MIN_PORT, PORT_LIMIT);
      if (allocated.contains(port) || allocated.contains(port + FAILURE_DETECTOR_OFFSET)) {
        continue;
      }
      try (ServerSocket portSocket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
          ServerSocket detectorSocket =
              new ServerSocket(
                  port + FAILURE_DETECTOR_OFFSET, 1, InetAddress.getLoopbackAddress())) {
        allocated.add(portSocket.getLocalPort());
        allocated.add(detectorSocket.getLocalPort());
        return port;
      } catch (BindException e) {
        // Another one.
      }
    }
    throw new IOException("no port is free");
  }
}
