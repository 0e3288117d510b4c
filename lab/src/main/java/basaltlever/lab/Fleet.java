package basaltlever.lab;

import basaltlever.pg.MessageEncoder;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

/**
 * Stand-ins on loopback: one group of a primary and replicas, and discovery. Each node counts what
 * reached it.
 */
final class Fleet implements AutoCloseable {
  enum Manner {
    SOUND,
    FAILS,
    HANGS,
    COLD
  }

  /** A primary or replica that speaks as much of the wire protocol as a router asks of it. */
  final class Node {
    final int number;
    final Manner manner;
    final AtomicInteger executions = new AtomicInteger();
    private final ServerSocket server = listen();

    Node(int number, Manner manner) {
      this.number = number;
      this.manner = manner;
      accept(server, this::serve);
    }

    private void serve(Socket socket) throws IOException {
      DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      in.readFully(new byte[in.readInt() - 4]);
      ByteBuf out = Unpooled.buffer();
      MessageEncoder.startupResponse(out);
      send(socket, out);
      while (in.readByte() == 'Q') {
        byte[] text = new byte[in.readInt() - 4];
        in.readFully(text);
        boolean poll = text.length < 20;
        out = Unpooled.buffer();
        long now = System.currentTimeMillis();
        if (poll) {
          row(
              out,
              String.format(
                  "x0=%d.%03d,x1=%d,utilization=0.2",
                  now / 1_000, now % 1_000, number == 0 ? 1 : 0));
        } else {
          executions.incrementAndGet();
          pause(SERVICE_MILLIS);
          if (manner == Manner.HANGS) {
            continue;
          } else if (manner == Manner.FAILS) {
            MessageEncoder.errorResponse(out, "ERROR", "XX000", "as asked", null);
          } else {
            row(out, "v");
          }
          MessageEncoder.parameterStatus(out, "part", number == 0 ? "master" : "replica");
          MessageEncoder.parameterStatus(out, "caught_up_to", "" + now);
        }
        MessageEncoder.readyForQuery(out);
        send(socket, out);
      }
    }
  }

  private interface Serving {
    void handle(Socket socket) throws IOException;
  }

  private static final int SERVICE_MILLIS = 4;
  private final List<Socket> open = Collections.synchronizedList(new ArrayList<>());
  private final ServerSocket discovery = listen();
  private final long started = System.currentTimeMillis();
  final List<Node> nodes = new ArrayList<>();

  /** Node 0 is primary. */
  Fleet(List<Manner> manners) {
    for (Manner manner : manners) {
      nodes.add(new Node(nodes.size(), manner));
    }
    accept(discovery, this::follow);
  }

  int discoveryPort() {
    return discovery.getLocalPort();
  }

  /** The list of members in discovery's form. */
  String list(int generation) {
    return "{\"generation\":"
        + generation
        + ",\"reset\":true,\"instances\":["
        + nodes.stream()
            .map(
                node ->
                    "{\"instanceId\":\"db-"
                        + node.number
                        + "\",\"hostPort\":\"127.0.0.1:"
                        + node.server.getLocalPort()
                        + "\",\"zone\":\"a\",\"cell\":1,\"lifecycle\":\"in_service\",\"weight\":1,"
                        + "\"startedAtMs\":"
                        + (node.manner == Manner.COLD ? started : 0)
                        + "}")
            .collect(Collectors.joining(","))
        + "]}";
  }

  private void follow(Socket socket) throws IOException {
    socket.getInputStream().read(new byte[4_096]);
    String line = list(2) + "\n";
    ByteBuf out =
        Unpooled.copiedBuffer(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(line.length())
                + "\r\n"
                + line
                + "\r\n",
            StandardCharsets.US_ASCII);
    send(socket, out);
    while (!socket.isClosed()) {
      pause(2_000);
      send(socket, Unpooled.copiedBuffer("1\r\n\n\r\n", StandardCharsets.US_ASCII));
    }
  }

  private static void row(ByteBuf out, String value) {
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    out.writeByte('T')
        .writeInt(28)
        .writeShort(1)
        .writeBytes("doc\0".getBytes(StandardCharsets.US_ASCII))
        .writeInt(0)
        .writeShort(0)
        .writeInt(17)
        .writeShort(-1)
        .writeInt(-1)
        .writeShort(1);
    out.writeByte('D')
        .writeInt(10 + bytes.length)
        .writeShort(1)
        .writeInt(bytes.length)
        .writeBytes(bytes);
    MessageEncoder.commandComplete(out, "SELECT 1");
  }

  private static void pause(int millis) throws IOException {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  static void send(Socket socket, ByteBuf out) throws IOException {
    socket.getOutputStream().write(ByteBufUtil.getBytes(out));
  }

  static ServerSocket listen() {
    try {
      return new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  private void accept(ServerSocket server, Serving with) {
    thread(
        () -> {
          while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            open.add(socket);
            thread(() -> with.handle(socket));
          }
        });
  }

  /** Nothing that hangs keeps the program from ending. */
  static Thread daemon(Runnable work) {
    Thread thread = new Thread(work);
    thread.setDaemon(true);
    return thread;
  }

  interface Step {
    void run() throws IOException;
  }

  static Thread thread(Step step) {
    Thread thread =
        daemon(
            () -> {
              try {
                step.run();
              } catch (IOException e) {
                // The other side has gone, or the fleet was closed.
              }
            });
    thread.start();
    return thread;
  }

  @Override
  public void close() throws IOException {
    discovery.close();
    for (Node node : nodes) {
      node.server.close();
    }
    for (Socket socket : List.copyOf(open)) {
      socket.close();
    }
  }
}
