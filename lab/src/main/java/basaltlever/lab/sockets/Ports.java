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
public final class Ports {
  /**
   * Below those that the system gives to whoever asks for any: clients spoke to a server's front
   * there.
   */
  private static final int LOWEST = 10_000;

  private static final int HIGHEST = 30_000;

  /** A voter's failure detector listens so far above it. */
  private static final int ABOVE = 1_000;

  private static final int TRIES = 1_000;
  private final Set<Integer> given = new HashSet<>();

  /**
   * Throws where none is free. Chance is the machine's, since other runs draw from the same ports.
   */
  public int next() throws IOException {
    for (int tries = 0; tries < TRIES; tries++) {
      int port = ThreadLocalRandom.current().nextInt(LOWEST, HIGHEST);
      if (given.contains(port) || given.contains(port + ABOVE)) {
        continue;
      }
      try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
          ServerSocket above =
              new ServerSocket(port + ABOVE, 1, InetAddress.getLoopbackAddress())) {
        given.add(free.getLocalPort());
        given.add(above.getLocalPort());
        return port;
      } catch (BindException taken) {
        // Another one.
      }
    }
    throw new IOException("no port is free");
  }
}
