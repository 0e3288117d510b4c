package basaltlever.net;

import static basaltlever.StandIn.check;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import net.jqwik.api.Example;

/** What the system does with connections that have sent nothing; Linux only. */
class ListenerSocketTest {
  private static final int DEFERRAL_SECONDS = 1;
  private static final long LONGEST_WAIT_MILLIS = 3_000;

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
  void aConnectionThatHasSentNothingIsKeptOutOfTheListenQueue() throws Exception {
    check(ListenerSocket.load(), "the native library is there on the machines of the tests");
    try (ServerSocketChannel listener = ServerSocketChannel.open()) {
      listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      listener.configureBlocking(false);
      InetSocketAddress address = (InetSocketAddress) listener.getLocalAddress();
      ListenerSocket socket = ListenerSocket.find(address);
      socket.deferAccept(DEFERRAL_SECONDS);
      try (Socket silent = new Socket(address.getAddress(), address.getPort());
          Socket asking = new Socket(address.getAddress(), address.getPort())) {
        asking.getOutputStream().write(1);
        try (SocketChannel first = acceptWithin(listener, LONGEST_WAIT_MILLIS)) {
          check(
              ((InetSocketAddress) first.getRemoteAddress()).getPort() == asking.getLocalPort(),
              "who has sent something comes first");
        }
        try (SocketChannel second = acceptWithin(listener, LONGEST_WAIT_MILLIS)) {
          check(
              ((InetSocketAddress) second.getRemoteAddress()).getPort() == silent.getLocalPort(),
              "who says nothing is accepted in the end");
        }
      }
    }
  }

  /** The listener of a router that ends would reset whom the system still keeps back. */
  @Example
  void withoutDeferralASilentConnectionIsAcceptedAtOnce() throws Exception {
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
  void anAddressThatNobodyListensAtIsNamed() throws Exception {
    InetSocketAddress nobody = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    try {
      ListenerSocket.find(nobody);
      check(false, "found");
    } catch (java.io.IOException fault) {
      check(fault.getMessage().contains("no socket listens at"), fault.getMessage());
    }
  }
}
