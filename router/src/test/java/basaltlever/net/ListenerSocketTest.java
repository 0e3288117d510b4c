package basaltlever.net;

import static basaltlever.LoadBalancerHarness.check;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import net.jqwik.api.Example;

/** What the system does with connections that have sent nothing; Linux only. */
class ListenerSocketTest {
  private static final int DEFERRAL_SECONDS = 1;
  private static final long MAX_WAIT_MILLIS = 3_000;

  private static SocketChannel acceptWithin(ServerSocketChannel listener, long millis)
      throws Exception {
    long end = System.nanoTime() + millis * 1_000_000;
    SocketChannel accepted = listener.accept();
    while (accepted == null && System.nanoTime() < end) {
      Thread.sleep(5);
      accepted = listener.accept();
    }
    return accepted;
  }

  /**
   * Guards against: a client with a statement waited in the listen queue behind a crowd of
   * connections that said nothing.
   */
  @Example
  void aSilentConnectionIsKeptOutOfTheListenQueue() throws Exception {
    check(ListenerSocket.load(), "the native library is there on the machines of the tests");
    try (ServerSocketChannel listener = ServerSocketChannel.open()) {
      listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      listener.configureBlocking(false);
      InetSocketAddress address = (InetSocketAddress) listener.getLocalAddress();
      ListenerSocket socket = ListenerSocket.find(address);
      socket.deferAccept(DEFERRAL_SECONDS);
      try (Socket silent = new Socket(address.getAddress(), address.getPort());
          Socket sending = new Socket(address.getAddress(), address.getPort())) {
        sending.getOutputStream().write(1);
        try (SocketChannel first = acceptWithin(listener, MAX_WAIT_MILLIS)) {
          check(
              ((InetSocketAddress) first.getRemoteAddress()).getPort() == sending.getLocalPort(),
              "who has sent something comes first");
        }
        try (SocketChannel second = acceptWithin(listener, MAX_WAIT_MILLIS)) {
          check(
              ((InetSocketAddress) second.getRemoteAddress()).getPort() == silent.getLocalPort(),
              "who says nothing is accepted in the end");
        }
      }
    }
  }

  /** The listener of a router that ends would reset whom the system still keeps back. */
  @Example
  void withoutDeferralASilentConnectionIsAcceptedImmediately() throws Exception {
    try (ServerSocketChannel listener = ServerSocketChannel.open()) {
      listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      InetSocketAddress address = (InetSocketAddress) listener.getLocalAddress();
      ListenerSocket socket = ListenerSocket.find(address);
      socket.deferAccept(DEFERRAL_SECONDS);
      socket.deferAccept(0);
      try (Socket silent = new Socket(address.getAddress(), address.getPort());
          SocketChannel accepted = listener.accept()) {
        check(accepted != null, "accepted with nothing sent: " + silent);
      }
    }
  }

  @Example
  void findFailsForAnAddressWithoutAListener() throws Exception {
    InetSocketAddress unusedAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    try {
      ListenerSocket.find(unusedAddress);
      check(false, "found");
    } catch (java.io.IOException exception) {
      check(exception.getMessage().contains("no socket listens at"), exception.getMessage());
    }
  }
}
