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
 * Simulates on loopback one group of database servers, a primary and its replicas, and the
 * discovery service that lists them. Each server counts the statements it received.
 */
final class SimulatedGroup implements AutoCloseable {
  /** How a server answers statements; polls are always answered. */
  enum Behavior {
    SOUND,
    FAILS,
    HANGS,
    /** Answers, and the endpoint list gives the start of the group as its start. */
    COLD
  }

  /** A primary or replica, with the part of the wire protocol that the router uses. */
  final class DatabaseServer {
    final int index;
    final Behavior behavior;
    final AtomicInteger executions = new AtomicInteger();
    private final ServerSocket listener = listenOnLoopback();

    DatabaseServer(int index, Behavior behavior) {
      this.index = index;
      this.behavior = behavior;
      acceptConnections(listener, this::serve);
    }

    private void serve(Socket socket) throws IOException {
      DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      in.readFully(new byte[in.readInt() - 4]);
      ByteBuf out = Unpooled.buffer();
      MessageEncoder.writeStartupResponse(out);
      send(socket, out);
      while (in.readByte() == 'Q') {
        byte[] queryText = new byte[in.readInt() - 4];
        in.readFully(queryText);
        boolean isPoll = queryText.length < 20;
        out = Unpooled.buffer();
        long now = System.currentTimeMillis();
        if (queryText.length == 1) {
          MessageEncoder.writeEmptyQueryResponse(out);
        } else if (isPoll) {
          writeRow(
              out,
              String.format(
                  "x0=%d.%03d,x1=%d,utilization=0.2",
                  now / 1_000, now % 1_000, index == 0 ? 1 : 0));
        } else {
          executions.incrementAndGet();
          sleep(SERVICE_TIME_MILLIS);
          if (behavior == Behavior.HANGS) {
            continue;
          } else if (behavior == Behavior.FAILS) {
            MessageEncoder.writeErrorResponse(out, "ERROR", "XX000", "as asked", null);
          } else {
            writeRow(out, "v");
          }
          MessageEncoder.writeParameterStatus(out, "part", index == 0 ? "master" : "replica");
          MessageEncoder.writeParameterStatus(out, "caught_up_to", "" + now);
        }
        MessageEncoder.writeReadyForQuery(out);
        send(socket, out);
      }
    }
  }

  private interface ConnectionHandler {
    void handle(Socket socket) throws IOException;
  }

  private static final int SERVICE_TIME_MILLIS = 4;
  private final List<Socket> openSockets = Collections.synchronizedList(new ArrayList<>());
  private final ServerSocket discoveryListener = listenOnLoopback();
  private final long startedAtMillis = System.currentTimeMillis();
  final List<DatabaseServer> servers = new ArrayList<>();

  /** Starts one server for each behavior; the first is the primary. */
  SimulatedGroup(List<Behavior> behaviors) {
    for (Behavior behavior : behaviors) {
      servers.add(new DatabaseServer(servers.size(), behavior));
    }
    acceptConnections(discoveryListener, this::streamEndpointList);
  }

  int discoveryPort() {
    return discoveryListener.getLocalPort();
  }

  /** Returns the endpoint list in the format of the discovery service. */
  String endpointListJson(int generation) {
    return "{\"generation\":"
        + generation
        + ",\"reset\":true,\"instances\":["
        + servers.stream()
            .map(
                server ->
                    "{\"instanceId\":\"db-"
                        + server.index
                        + "\",\"hostPort\":\"127.0.0.1:"
                        + server.listener.getLocalPort()
                        + "\",\"zone\":\"a\",\"cell\":1,\"lifecycle\":\"in_service\",\"weight\":1,"
                        + "\"startedAtMs\":"
                        + (server.behavior == Behavior.COLD ? startedAtMillis : 0)
                        + "}")
            .collect(Collectors.joining(","))
        + "]}";
  }

  private void streamEndpointList(Socket socket) throws IOException {
    socket.getInputStream().read(new byte[4_096]);
    String line = endpointListJson(2) + "\n";
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
      sleep(2_000);
      send(socket, Unpooled.copiedBuffer("1\r\n\n\r\n", StandardCharsets.US_ASCII));
    }
  }

  private static void writeRow(ByteBuf out, String value) {
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
    MessageEncoder.writeCommandComplete(out, "SELECT 1");
  }

  private static void sleep(int millis) throws IOException {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  static void send(Socket socket, ByteBuf out) throws IOException {
    socket.getOutputStream().write(ByteBufUtil.getBytes(out));
  }

  static ServerSocket listenOnLoopback() {
    try {
      return new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  private void acceptConnections(ServerSocket listener, ConnectionHandler handler) {
    startDaemonThread(
        () -> {
          while (true) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            openSockets.add(socket);
            startDaemonThread(() -> handler.handle(socket));
          }
        });
  }

  /** Creates a daemon thread, so that a blocked task doesn't keep the program from exiting. */
  static Thread newDaemonThread(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    return thread;
  }

  interface IoTask {
    void run() throws IOException;
  }

  static Thread startDaemonThread(IoTask task) {
    Thread thread =
        newDaemonThread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // The peer closed the connection, or the group was closed.
              }
            });
    thread.start();
    return thread;
  }

  @Override
  public void close() throws IOException {
    discoveryListener.close();
    for (DatabaseServer server : servers) {
      server.listener.close();
    }
    for (Socket socket : List.copyOf(openSockets)) {
      socket.close();
    }
  }
}
