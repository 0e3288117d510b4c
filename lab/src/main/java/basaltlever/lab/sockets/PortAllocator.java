package basaltlever.lab.sockets;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Allocates distinct ports for the processes of one run. A port that is free when it is probed may
 * be in use by another process of the run before its own process listens on it.
 */
public final class PortAllocator {
  /**
   * The range lies below the ephemeral ports of the system: with a port from those, clients
   * connected to the socket of a simulated server instead of a router.
   */
  private static final int MIN_PORT = 10_000;

  /** The exclusive upper bound of the range. */
  private static final int PORT_LIMIT = 30_000;

  /** The failure detector of a voter listens on the voter's port plus this offset. */
  private static final int FAILURE_DETECTOR_OFFSET = 1_000;

  private static final int MAX_TRIES = 1_000;
  private final Set<Integer> allocated = new HashSet<>();

  /**
   * Returns a port that is free together with its failure detector port. The choice is not seeded,
   * since concurrent runs draw from the same range.
   *
   * @throws IOException if no free port was found
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
        // The port is in use; try another one.
      }
    }
    throw new IOException("found no free port");
  }
}
