package basaltlever;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.config.InvalidSettingsException;
import basaltlever.config.StartFile;
import basaltlever.config.StartValues;
import basaltlever.gateway.RejectReason;
import basaltlever.net.Router;
import basaltlever.pg.MessageEncoder;
import basaltlever.pg.QueryResponse;
import basaltlever.switchover.PlannedSwitchover;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs a router with database servers and discovery on loopback sockets, with blocking I/O and one
 * thread per connection.
 */
public final class LoopbackCluster implements AutoCloseable {
  /** The response of a server to a statement. */
  enum ResponseMode {
    ROW,
    BYTE_BY_BYTE,
    LARGE,
    NOT_PRIMARY,
    BEHIND,
    ERROR,
    FULL,
    OTHER_ERROR,
    NO_RESPONSE,
    DISCONNECT,
    GARBAGE,
    TWO_ROWS,
    TWO_COLUMNS,
    ERROR_AFTER_ROW,
    FATAL_ERROR,
    TRUNCATED,
    TWO_RESPONSES,
    TRAILING_GARBAGE,
    WRONG_LENGTH,
    HUGE,
    ENDLESS_PARAMETERS,
    ENDLESS_ROWS;

    /** Returns true if a valid response is sent, whatever follows it. */
    boolean hasValidResponse() {
      return List.of(ROW, BYTE_BY_BYTE, LARGE, HUGE, TWO_RESPONSES, TRAILING_GARBAGE)
          .contains(this);
    }

    /** Returns true if the response proves that the statement was not executed. */
    boolean provesNotExecuted() {
      return this == NOT_PRIMARY || this == BEHIND || this == FULL;
    }
  }

  /** Records the calls without carrying them out. */
  public static final class RecordingEffects implements basaltlever.core.Effects<String> {
    public final List<String> calls = new ArrayList<>();

    @Override
    public void startAttempt(
        long ticket, int attempt, String endpoint, Span timeout, Moment sendBy) {
      calls.add("execute");
    }

    @Override
    public void cancel(long ticket, int attempt) {
      calls.add("cancel");
    }

    @Override
    public void reject(long ticket, Span retryAfter, RejectReason reason) {
      calls.add("reject");
    }

    @Override
    public void abort(long ticket) {
      calls.add("abort");
    }

    @Override
    public void poll(String endpoint) {}

    @Override
    public void closeIdleConnections(String endpoint) {}

    @Override
    public void onEndpointRemoved(String endpoint) {
      calls.add("forget " + endpoint);
    }

    @Override
    public void watchEndpointList() {
      calls.add("watch");
    }

    @Override
    public void setTimer(Span delay) {}

    @Override
    public void openConnections(String endpoint, int connections) {}

    @Override
    public void onSwitchoverPhaseChanged(int group, PlannedSwitchover.Phase phase, String target) {}

    @Override
    public void onPrimaryChanged(int group, String endpoint, boolean found) {}
  }

  /** A simulated server: a primary or a replica without lag. */
  final class DatabaseServer {
    final ServerSocket listener = listen(0);
    final String id;
    final boolean primary;
    volatile ResponseMode responseMode = ResponseMode.ROW;
    volatile String listedLifecycle = "in_service";
    volatile boolean ignoresPolls;

    /**
     * If set, each response to a statement is sent once more, as soon as the next query has been
     * received and before anything is done for that.
     */
    volatile boolean repeatsResponses;

    private final Map<Socket, ByteBuf> repeatedResponses = new ConcurrentHashMap<>();

    /** If set, startup messages are answered once this latch is open. */
    volatile java.util.concurrent.CountDownLatch startupGate;

    final AtomicInteger startupCount = new AtomicInteger();

    /** The startup message of each connection, without its length prefix. */
    final Queue<byte[]> startupMessages = new java.util.concurrent.ConcurrentLinkedQueue<>();

    final List<Socket> openSockets = Collections.synchronizedList(new ArrayList<>());

    /** The arrival time of each statement, from {@link System#nanoTime()}. */
    final Queue<Long> statementTimes = new java.util.concurrent.ConcurrentLinkedQueue<>();

    DatabaseServer(String id, boolean primary) {
      this.id = id;
      this.primary = primary;
      acceptConnections(listener, this::serve);
    }

    private void serve(Socket socket) throws IOException {
      openSockets.add(socket);
      if (listener.isClosed()) {
        // Accepted while the server is killed: kill() may have closed the open sockets before.
        socket.close();
        return;
      }
      DataInputStream in = new DataInputStream(socket.getInputStream());
      byte[] startup = new byte[in.readInt() - 4];
      in.readFully(startup);
      startupMessages.add(startup);
      startupCount.incrementAndGet();
      if (startupGate != null) {
        try {
          startupGate.await();
        } catch (InterruptedException e) {
          return;
        }
      }
      ByteBuf out = Unpooled.buffer();
      MessageEncoder.writeStartupResponse(out);
      send(socket, out);
      while (in.readByte() == 'Q') {
        byte[] text = new byte[in.readInt() - 4];
        in.readFully(text);
        ByteBuf repeatedResponse = repeatedResponses.remove(socket);
        if (repeatedResponse != null) {
          send(socket, repeatedResponse);
        }
        respond(socket, new String(text, 0, text.length - 1, StandardCharsets.UTF_8));
      }
    }

    private void respond(Socket socket, String query) throws IOException {
      long now = System.currentTimeMillis();
      ByteBuf out = Unpooled.buffer();
      if (query.isEmpty()) {
        MessageEncoder.writeEmptyQueryResponse(out);
        MessageEncoder.writeReadyForQuery(out);
        send(socket, out);
        return;
      }
      if (query.equals("SHOW gauges")) {
        if (ignoresPolls) {
          return;
        }
        writeRow(
            out,
            "x0="
                + now / 1_000
                + "."
                + String.format("%03d", now % 1_000)
                + ",x1="
                + (primary ? 1 : 0)
                + ",utilization=0.2");
        MessageEncoder.writeReadyForQuery(out);
        send(socket, out);
        return;
      }
      ResponseMode response = responseMode;
      String id = query.replaceAll("(?s).*id=(\\w+),.*", "$1");
      receivedQueries.add(query);
      statementTimes.add(System.nanoTime());
      lastReceivedAt.put(id, System.nanoTime());
      modesByStatement
          .computeIfAbsent(id, i -> Collections.synchronizedList(new ArrayList<>()))
          .add(response);
      String code =
          switch (response) {
            case NOT_PRIMARY -> "25006";
            case BEHIND -> "72000";
            case ERROR -> "XX000";
            case FULL -> "53300";
            case OTHER_ERROR -> "42P01";
            default -> null;
          };
      if (code != null) {
        MessageEncoder.writeErrorResponse(out, "ERROR", code, "as asked", null);
      }
      switch (response) {
        case NO_RESPONSE -> {
          return;
        }
        case DISCONNECT -> {
          socket.close();
          return;
        }
        case FATAL_ERROR -> {
          MessageEncoder.writeErrorResponse(out, "FATAL", "XX000", "as asked", null);
          send(socket, out);
          socket.close();
          return;
        }
        case ENDLESS_PARAMETERS, ENDLESS_ROWS -> {
          // Writes until the router closes the connection.
          if (response == ResponseMode.ENDLESS_ROWS) {
            send(socket, out.writeBytes(rowDescription(1)).writeBytes(dataRow(1, id)));
            out.clear().writeBytes(dataRow(1, id));
          } else {
            MessageEncoder.writeParameterStatus(out, "more", "and more");
          }
          while (true) {
            send(socket, out.duplicate());
          }
        }
        case GARBAGE -> out.writeBytes("this is no message".getBytes(StandardCharsets.UTF_8));
        case TWO_COLUMNS -> out.writeBytes(rowDescription(2)).writeBytes(dataRow(2, id));
        case ROW, BYTE_BY_BYTE, ERROR_AFTER_ROW, TRUNCATED, TWO_RESPONSES, TRAILING_GARBAGE ->
            writeRow(out, id);
        case WRONG_LENGTH -> {
          writeRow(out, id);
          out.setInt(out.indexOf(0, out.writerIndex(), (byte) 'D') + 7, id.length() + 1);
        }
        case HUGE -> writeRow(out, id + "-" + "v".repeat(400_000));
        case LARGE -> writeRow(out, id + "-" + "v".repeat(1 << 16));
        case TWO_ROWS -> {
          out.writeBytes(rowDescription(1)).writeBytes(dataRow(1, id)).writeBytes(dataRow(1, id));
          MessageEncoder.writeCommandComplete(out, "SELECT 2");
        }
        default -> {}
      }
      if (response == ResponseMode.ERROR_AFTER_ROW) {
        MessageEncoder.writeErrorResponse(out, "ERROR", "25006", "as asked", null);
      }
      if (response == ResponseMode.TRUNCATED) {
        out.writerIndex(out.writerIndex() - 3);
        send(socket, out);
        socket.close();
        return;
      }
      MessageEncoder.writeParameterStatus(out, "part", primary ? "master" : "replica");
      MessageEncoder.writeParameterStatus(out, "caught_up_to", "" + now);
      MessageEncoder.writeReadyForQuery(out);
      if (response == ResponseMode.TWO_RESPONSES) {
        writeRow(out, "another");
        MessageEncoder.writeReadyForQuery(out);
      } else if (response == ResponseMode.TRAILING_GARBAGE) {
        out.writeBytes(new byte[] {'D', 0, 0});
      }
      while (response == ResponseMode.BYTE_BY_BYTE && out.isReadable()) {
        socket.getOutputStream().write(out.readByte());
      }
      if (repeatsResponses) {
        repeatedResponses.put(socket, out.copy());
      }
      send(socket, out);
    }

    void kill() throws IOException {
      listener.close();
      synchronized (openSockets) {
        for (Socket socket : openSockets) {
          if (!socket.isClosed()) {
            socket.setSoLinger(true, 0);
          }
          socket.close();
        }
      }
    }
  }

  /** A blocking client with one connection. */
  public static final class Client implements AutoCloseable {
    final Socket socket;
    final DataInputStream in;

    public Client(int port) throws IOException {
      socket = new Socket("127.0.0.1", port);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(8_000);
      in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
    }

    public Client sendStartup() throws IOException {
      ByteBuf out = Unpooled.buffer();
      MessageEncoder.writeStartupMessage(out, "app", "shop");
      send(socket, out);
      return this;
    }

    public void sendBytes(byte[] bytes) throws IOException {
      socket.getOutputStream().write(bytes);
    }

    public Client sendQuery(String query) throws IOException {
      ByteBuf out = Unpooled.buffer();
      MessageEncoder.writeQuery(out, query);
      send(socket, out);
      return this;
    }

    /**
     * Reads up to ReadyForQuery and returns a summary: row:VALUE, error:CODE:DETAIL, and the type
     * letter of any other message.
     */
    public String readResponse() throws IOException {
      StringBuilder summary = new StringBuilder();
      while (true) {
        int type = in.read();
        if (type < 0) {
          return summary + "closed";
        }
        byte[] body = new byte[in.readInt() - 4];
        in.readFully(body);
        ByteBuf message =
            Unpooled.buffer().writeByte(type).writeInt(body.length + 4).writeBytes(body);
        switch (type) {
          case 'Z' -> {
            return summary.toString();
          }
          case 'D' ->
              summary
                  .append("row:")
                  .append(new String(body, 6, body.length - 6, StandardCharsets.UTF_8));
          case 'E' ->
              summary
                  .append("error:")
                  .append(QueryResponse.errorField(message, 'C'))
                  .append(':')
                  .append(QueryResponse.errorField(message, 'D'));
          case 'T', 'C', 'R', 'S', 'K' -> {}
          default -> summary.append((char) type);
        }
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  interface ConnectionHandler {
    void handle(Socket socket) throws IOException;
  }

  final List<DatabaseServer> servers = new ArrayList<>();
  final List<String> receivedQueries = Collections.synchronizedList(new ArrayList<>());
  final Map<String, List<ResponseMode>> modesByStatement = new ConcurrentHashMap<>();

  /** The time at which a server last received each statement, from {@link System#nanoTime()}. */
  final Map<String, Long> lastReceivedAt = new ConcurrentHashMap<>();

  ServerSocket discoveryListener = listen(0);
  volatile String discoveryRequest = "";
  final int port;
  final Router router = new Router();
  final AtomicInteger discoveryCalls = new AtomicInteger();
  volatile boolean rejectsDiscoveryCalls;
  private final boolean startsRouter;
  private volatile Socket watchSocket;

  /**
   * Closed with the cluster: routers count the descriptors of the whole process, so open sockets
   * would reduce the limit of the next one.
   */
  private final List<Socket> discoverySockets = Collections.synchronizedList(new ArrayList<>());

  final Path startFilePath = Files.createTempFile("start", ".json");

  /** Starts a primary, two replicas and a router. */
  LoopbackCluster() throws Exception {
    this(true);
  }

  /**
   * Leaves starting the router to the caller, with the start file, unless {@code startsRouter} is
   * set.
   */
  LoopbackCluster(boolean startsRouter) throws Exception {
    this.startsRouter = startsRouter;
    for (int i = 0; i < 3; i++) {
      servers.add(new DatabaseServer("s-" + i, i == 0));
    }
    acceptConnections(discoveryListener, this::serveDiscovery);
    try (ServerSocket free = listen(0)) {
      port = free.getLocalPort();
    }
    writeStartFile();
    if (startsRouter) {
      router.start(startFilePath, null);
    }
  }

  static String startFile(int listen, int discovery, String knownInstances) {
    return """
    {"name":"n3","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
     "limits":{"cores":1.0,"memory_mb":192,"sockets":200},
     "known":{"generation":1,"reset":true,"instances":%s},
     "settings":{"Balancers":2,"Zone":0,"Zones":["a","b"],"Discovery":"on_request",
      "Bounds":{"Cancel":true,"ConnectTimeout":250000,"IdleClose":2000000,"MaxAttempts":4,"MaxOpen":500,
       "MaxRetryAfter":1000000,"MayDuplicate":true,"MayProbe":true,"RetryAfter":true,"StreamsPerConn":1},
      "Classes":[{"Name":"view","Repeat":"idempotent","Slo":400000,"HardLimit":2000000,"Worth":1.0},
       {"Name":"post","Repeat":"at_most_once","Slo":400000,"HardLimit":2000000,"Worth":4.0,
         "LateWorth":0.5}],
      "Costs":{"Probe":0.0},"Reporting":{"How":"probe","Fields":["x0","x1","utilization"]},
      "FamilyInfo":{"Checks":"wait","ClassRead":["bounded","write"],"LagAllowed":[500000,0],
       "ProgressTold":true,"SessionMarks":"carried"},
      "Rules":{"AnswerSlack":20000,"Cold":9000000,"ColdFrom":0.2,"FallMultiple":4.0,"Fall":1000000,
       "MustAskIn":10000000}}}"""
        .formatted(listen, discovery, knownInstances);
  }

  /** Creates a statement router whose effects are recorded and not carried out. */
  public static basaltlever.core.StatementRouter<String> createStatementRouter() {
    try {
      return new basaltlever.core.StatementRouter<>(
          new RecordingEffects(),
          createStartValues()
              .loadBalancerFactory(1, new Moment(0), createStartValues().defaultHoldBudget()));
    } catch (InvalidSettingsException fault) {
      throw new AssertionError(fault);
    }
  }

  public static StartValues createStartValues() throws InvalidSettingsException {
    return StartFile.parse(startFile(1, 2, "[]")).startValues();
  }

  String instancesJson() {
    return servers.stream()
        .map(
            n ->
                "{\"instanceId\":\""
                    + n.id
                    + "\",\"hostPort\":\"127.0.0.1:"
                    + n.listener.getLocalPort()
                    + "\",\"zone\":\"a\",\"cell\":1,\"lifecycle\":\""
                    + n.listedLifecycle
                    + "\",\"weight\":1,\"startedAtMs\":0}")
        .toList()
        .toString();
  }

  private void serveDiscovery(Socket socket) throws IOException {
    discoveryCalls.incrementAndGet();
    discoverySockets.add(socket);
    byte[] head = new byte[4_096];
    discoveryRequest =
        new String(
            head, 0, Math.max(0, socket.getInputStream().read(head)), StandardCharsets.US_ASCII);
    if (rejectsDiscoveryCalls) {
      send(
          socket,
          Unpooled.copiedBuffer(
              "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", StandardCharsets.UTF_8));
      socket.close();
      return;
    }
    watchSocket = socket;
    send(
        socket,
        Unpooled.copiedBuffer(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", StandardCharsets.UTF_8));
    publishList();
  }

  /** Sends the current list to the open watch. */
  void publishList() throws IOException {
    String line =
        "{\"generation\":"
            + (2 + discoveryCalls.get())
            + ",\"reset\":true,\"instances\":"
            + instancesJson()
            + "}\n";
    send(
        watchSocket,
        Unpooled.copiedBuffer(
            Integer.toHexString(line.length()) + "\r\n" + line + "\r\n", StandardCharsets.UTF_8));
  }

  /** Moves discovery to another address, also in the start file; the open watch stays open. */
  void moveDiscovery() throws IOException {
    discoveryListener.close();
    discoveryListener = listen(0);
    acceptConnections(discoveryListener, this::serveDiscovery);
    writeStartFile();
  }

  /**
   * Gives each router the same number of descriptors, whatever earlier routers and servers left
   * open in this process.
   */
  private void writeStartFile() throws IOException {
    writeStartFile(text -> text);
  }

  void writeStartFile(java.util.function.UnaryOperator<String> edit) throws IOException {
    Files.writeString(
        startFilePath,
        edit.apply(
            startFile(port, discoveryListener.getLocalPort(), instancesJson())
                .replace(
                    "\"sockets\":200", "\"sockets\":" + (awaitStableDescriptorCount() + 140))));
  }

  /**
   * Waits for a stable count: if earlier servers still closed their sockets after it, the router
   * would have far more descriptors than intended.
   */
  private static int awaitStableDescriptorCount() {
    int before = -1;
    for (int i = 0; i < 50; i++) {
      String[] open = new java.io.File("/proc/self/fd").list();
      int count = open == null ? 60 : open.length;
      if (count == before) {
        break;
      }
      before = count;
      java.util.concurrent.locks.LockSupport.parkNanos(10_000_000);
    }
    return before;
  }

  void closeWatch() throws IOException {
    watchSocket.close();
  }

  public static String statement(String id, String workload, int millis) {
    return "/* id="
        + id
        + ",c="
        + workload
        + ",d="
        + millis
        + ",cluster=1 */ SELECT doc FROM items"
        + " WHERE id = 'k'";
  }

  static byte[] rowDescription(int columns) {
    ByteBuf out = Unpooled.buffer().writeByte('T').writeInt(6 + columns * 22).writeShort(columns);
    for (int i = 0; i < columns; i++) {
      out.writeBytes("doc\0".getBytes(StandardCharsets.UTF_8))
          .writeInt(0)
          .writeShort(0)
          .writeInt(17)
          .writeShort(-1)
          .writeInt(-1)
          .writeShort(1);
    }
    return ByteBufUtil.getBytes(out);
  }

  static byte[] dataRow(int columns, String value) {
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    ByteBuf out =
        Unpooled.buffer()
            .writeByte('D')
            .writeInt(6 + columns * (4 + bytes.length))
            .writeShort(columns);
    for (int i = 0; i < columns; i++) {
      out.writeInt(bytes.length).writeBytes(bytes);
    }
    return ByteBufUtil.getBytes(out);
  }

  public static void writeRow(ByteBuf out, String value) {
    out.writeBytes(rowDescription(1)).writeBytes(dataRow(1, value));
    MessageEncoder.writeCommandComplete(out, "SELECT 1");
  }

  public static ServerSocket listen(int port) {
    try {
      return new ServerSocket(port, 50, java.net.InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  private static void acceptConnections(ServerSocket server, ConnectionHandler handler) {
    startThread(
        () -> {
          while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            startThread(() -> handler.handle(socket));
          }
        });
  }

  private interface IoAction {
    void run() throws IOException;
  }

  private static void startThread(IoAction action) {
    Thread thread =
        new Thread(
            () -> {
              try {
                action.run();
              } catch (IOException e) {
                // The peer disconnected, or this side was closed.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  public static void send(Socket socket, ByteBuf out) throws IOException {
    socket.getOutputStream().write(ByteBufUtil.getBytes(out));
  }

  @Override
  public void close() throws IOException {
    router.drain();
    try {
      router.awaitStop();
      check(!startsRouter || router.activeBuffers() == 0, "expected all buffers to be released");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    discoveryListener.close();
    for (Socket open : List.copyOf(discoverySockets)) {
      open.close();
    }
    Files.delete(startFilePath);
    for (DatabaseServer server : servers) {
      server.kill();
    }
  }
}
