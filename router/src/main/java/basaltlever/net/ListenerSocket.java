package basaltlever.net;

import io.netty.channel.epoll.Epoll;
import io.netty.channel.unix.Socket;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Accesses a listener's socket by its descriptor to set TCP_DEFER_ACCEPT, which the JDK does not
 * support. With it, Linux puts a connection into the listen queue once its client has sent
 * something or the timeout has expired.
 */
final class ListenerSocket {
  /** Names and numbers of socket options on Linux. */
  private static final int SOL_SOCKET = 1;

  private static final int SO_ACCEPTCONN = 30;
  private static final int IPPROTO_TCP = 6;
  private static final int TCP_DEFER_ACCEPT = 9;
  private static final Path DESCRIPTOR_DIRECTORY = Path.of("/proc/self/fd");

  private final Socket socket;

  private ListenerSocket(Socket socket) {
    this.socket = socket;
  }

  /**
   * Loads the native library, so that {@link #find} does not have to. Returns false if there is
   * none for this system. Not for event loop threads.
   */
  static boolean load() {
    return Epoll.isAvailable();
  }

  /**
   * Finds the socket of this process that listens at the address. Reads files, so it is not for
   * event loop threads.
   */
  static ListenerSocket find(InetSocketAddress address) throws IOException {
    if (!Epoll.isAvailable()) {
      throw new IOException("native transport is unavailable: " + Epoll.unavailabilityCause());
    }
    String[] descriptors = DESCRIPTOR_DIRECTORY.toFile().list();
    if (descriptors == null) {
      throw new IOException(DESCRIPTOR_DIRECTORY + " cannot be listed");
    }
    for (String descriptor : descriptors) {
      if (isSocket(descriptor)) {
        Socket candidate = new Socket(Integer.parseInt(descriptor));
        if (listensAt(candidate, address)) {
          return new ListenerSocket(candidate);
        }
      }
    }
    throw new IOException("no socket listens at " + address);
  }

  private static boolean isSocket(String descriptor) {
    try {
      String target =
          Files.readSymbolicLink(new File(DESCRIPTOR_DIRECTORY.toFile(), descriptor).toPath())
              .toString();
      return target.startsWith("socket:");
    } catch (IOException closedMeanwhile) {
      return false;
    }
  }

  private static boolean listensAt(Socket candidate, InetSocketAddress address) {
    try {
      InetSocketAddress localAddress = candidate.localAddress();
      return candidate.getIntOpt(SOL_SOCKET, SO_ACCEPTCONN) != 0
          && localAddress != null
          && localAddress.getPort() == address.getPort()
          && localAddress.getAddress().equals(address.getAddress());
    } catch (IOException closedMeanwhile) {
      return false;
    }
  }

  /** Sets how long Linux defers a connection that sends nothing; 0 turns the deferral off. */
  void deferAccept(int seconds) throws IOException {
    socket.setIntOpt(IPPROTO_TCP, TCP_DEFER_ACCEPT, seconds);
  }
}
