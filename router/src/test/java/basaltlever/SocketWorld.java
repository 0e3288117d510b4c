package basaltlever;

import static basaltlever.StandIn.check;

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
 * Nodes and discovery on loopback sockets, blocking and one thread a connection, for a whole
 * router.
 */
public final class SocketWorld implements AutoCloseable {
  /** What a node does with a statement. */
  enum Mode {
    ROW,
    SLOWLY,
    LARGE,
    NOT_PRIMARY,
    BEHIND,
    ERROR,
    FULL,
    OTHER,
    SILENT,
    BREAKS,
    GARBAGE,
    TWO_ROWS,
    TWO_COLUMNS,
    ERROR_AFTER_ROW,
    FATAL,
    CUT,
    TWICE,
    NOISE_BEHIND,
    WRONG_LENGTH,
    HUGE,
    ENDLESS,
    ENDLESS_ROWS;

    /** True where a good answer comes, whatever comes behind it. */
    boolean completes() {
      return List.of(ROW, SLOWLY, LARGE, HUGE, TWICE, NOISE_BEHIND).contains(this);
    }

    /** True where it proves that nothing ran. */
    boolean provesNotRun() {
      return this == NOT_PRIMARY || this == BEHIND || this == FULL;
    }
  }

  /** Carries nothing out. */
  public static final class Silent implements basaltlever.core.Effects<String> {
    public final List<String> told = new ArrayList<>();

    @Override
    public void startAttempt(long ticket, int execution, String node, Span timeout, Moment sendBy) {
      told.add("execute");
    }

    @Override
    public void cancel(long ticket, int execution) {
      told.add("cancel");
    }

    @Override
    public void reject(long ticket, Span comeBackAfter, RejectReason reason) {
      told.add("reject");
    }

    @Override
    public void abort(long ticket) {
      told.add("abort");
    }

    @Override
    public void poll(String node) {}

    @Override
    public void closeIdleConnections(String node) {}

    @Override
    public void onEndpointRemoved(String node) {
      told.add("forget " + node);
    }

    @Override
    public void watchEndpointList() {
      told.add("watch");
    }

    @Override
    public void setTimer(Span fromNow) {}

    @Override
    public void openConnections(String node, int connections) {}

    @Override
    public void onSwitchoverPhaseChanged(int group, PlannedSwitchover.Phase phase, String target) {}

    @Override
    public void onPrimaryChanged(int group, String node, boolean found) {}
  }

  /** One node: a primary or a replica that is never behind. */
  final class Node {
    final ServerSocket server = listen(0);
    final String id;
    final boolean primary;
    volatile Mode mode = Mode.ROW;
    volatile String listed = "in_service";
    volatile boolean ignoresPolls;

    /** Where set, who connects is welcomed only once it is open. */
    volatile java.util.concurrent.CountDownLatch welcomes;

    final AtomicInteger connects = new AtomicInteger();

    /** What each connection began with, behind its length. */
    final Queue<byte[]> startups = new java.util.concurrent.ConcurrentLinkedQueue<>();

    final List<Socket> open = Collections.synchronizedList(new ArrayList<>());

    /** When it got each of its statements. */
    final Queue<Long> gotAt = new java.util.concurrent.ConcurrentLinkedQueue<>();

    Node(String id, boolean primary) {
      this.id = id;
      this.primary = primary;
      accept(server, this::serve);
    }

    private void serve(Socket socket) throws IOException {
      open.add(socket);
      if (server.isClosed()) {
        // Accepted in the moment of death: dies() may have gone through the open ones before.
        socket.close();
        return;
      }
      DataInputStream in = new DataInputStream(socket.getInputStream());
      byte[] startup = new byte[in.readInt() - 4];
      in.readFully(startup);
      startups.add(startup);
      connects.incrementAndGet();
      if (welcomes != null) {
        try {
          welcomes.await();
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
        answer(socket, new String(text, 0, text.length - 1, StandardCharsets.UTF_8));
      }
    }

    private void answer(Socket socket, String query) throws IOException {
      long now = System.currentTimeMillis();
      ByteBuf out = Unpooled.buffer();
      if (query.equals("SHOW gauges")) {
        if (ignoresPolls) {
          return;
        }
        row(
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
      Mode as = mode;
      String id = query.replaceAll("(?s).*id=(\\w+),.*", "$1");
      seen.add(query);
      gotAt.add(System.nanoTime());
      seenAt.put(id, System.nanoTime());
      ran.computeIfAbsent(id, i -> Collections.synchronizedList(new ArrayList<>())).add(as);
      String code =
          switch (as) {
            case NOT_PRIMARY -> "25006";
            case BEHIND -> "72000";
            case ERROR -> "XX000";
            case FULL -> "53300";
            case OTHER -> "42P01";
            default -> null;
          };
      if (code != null) {
        MessageEncoder.writeErrorResponse(out, "ERROR", code, "as asked", null);
      }
      switch (as) {
        case SILENT -> {
          return;
        }
        case BREAKS -> {
          socket.close();
          return;
        }
        case FATAL -> {
          MessageEncoder.writeErrorResponse(out, "FATAL", "XX000", "as asked", null);
          send(socket, out);
          socket.close();
          return;
        }
        case ENDLESS, ENDLESS_ROWS -> {
          // Until the other side has had enough.
          if (as == Mode.ENDLESS_ROWS) {
            send(socket, out.writeBytes(description(1)).writeBytes(data(1, id)));
            out.clear().writeBytes(data(1, id));
          } else {
            MessageEncoder.writeParameterStatus(out, "more", "and more");
          }
          while (true) {
            send(socket, out.duplicate());
          }
        }
        case GARBAGE -> out.writeBytes("this is no message".getBytes(StandardCharsets.UTF_8));
        case TWO_COLUMNS -> out.writeBytes(description(2)).writeBytes(data(2, id));
        case ROW, SLOWLY, ERROR_AFTER_ROW, CUT, TWICE, NOISE_BEHIND -> row(out, id);
        case WRONG_LENGTH -> {
          row(out, id);
          out.setInt(out.indexOf(0, out.writerIndex(), (byte) 'D') + 7, id.length() + 1);
        }
        case HUGE -> row(out, id + "-" + "v".repeat(400_000));
        case LARGE -> row(out, id + "-" + "v".repeat(1 << 16));
        case TWO_ROWS -> {
          out.writeBytes(description(1)).writeBytes(data(1, id)).writeBytes(data(1, id));
          MessageEncoder.writeCommandComplete(out, "SELECT 2");
        }
        default -> {}
      }
      if (as == Mode.ERROR_AFTER_ROW) {
        MessageEncoder.writeErrorResponse(out, "ERROR", "25006", "as asked", null);
      }
      if (as == Mode.CUT) {
        out.writerIndex(out.writerIndex() - 3);
        send(socket, out);
        socket.close();
        return;
      }
      MessageEncoder.writeParameterStatus(out, "part", primary ? "master" : "replica");
      MessageEncoder.writeParameterStatus(out, "caught_up_to", "" + now);
      MessageEncoder.writeReadyForQuery(out);
      if (as == Mode.TWICE) {
        row(out, "another");
        MessageEncoder.writeReadyForQuery(out);
      } else if (as == Mode.NOISE_BEHIND) {
        out.writeBytes(new byte[] {'D', 0, 0});
      }
      while (as == Mode.SLOWLY && out.isReadable()) {
        socket.getOutputStream().write(out.readByte());
      }
      send(socket, out);
    }

    void dies() throws IOException {
      server.close();
      synchronized (open) {
        for (Socket socket : open) {
          if (!socket.isClosed()) {
            socket.setSoLinger(true, 0);
          }
          socket.close();
        }
      }
    }
  }

  /** A client on one connection, blocking. */
  public static final class Client implements AutoCloseable {
    final Socket socket;
    final DataInputStream in;

    public Client(int port) throws IOException {
      socket = new Socket("127.0.0.1", port);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(8_000);
      in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
    }

    public Client start() throws IOException {
      ByteBuf out = Unpooled.buffer();
      MessageEncoder.writeStartupMessage(out, "app", "shop");
      send(socket, out);
      return this;
    }

    public void sendBytes(byte[] bytes) throws IOException {
      socket.getOutputStream().write(bytes);
    }

    public Client ask(String query) throws IOException {
      ByteBuf out = Unpooled.buffer();
      MessageEncoder.writeQuery(out, query);
      send(socket, out);
      return this;
    }

    /**
     * All up to ReadyForQuery in short: row:VALUE, error:CODE:DETAIL, other letters as they are.
     */
    public String answer() throws IOException {
      StringBuilder told = new StringBuilder();
      while (true) {
        int type = in.read();
        if (type < 0) {
          return told + "closed";
        }
        byte[] body = new byte[in.readInt() - 4];
        in.readFully(body);
        ByteBuf whole =
            Unpooled.buffer().writeByte(type).writeInt(body.length + 4).writeBytes(body);
        switch (type) {
          case 'Z' -> {
            return told.toString();
          }
          case 'D' ->
              told.append("row:")
                  .append(new String(body, 6, body.length - 6, StandardCharsets.UTF_8));
          case 'E' ->
              told.append("error:")
                  .append(QueryResponse.errorField(whole, 'C'))
                  .append(':')
                  .append(QueryResponse.errorField(whole, 'D'));
          case 'T', 'C', 'R', 'S', 'K' -> {}
          default -> told.append((char) type);
        }
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  interface Serving {
    void serve(Socket socket) throws IOException;
  }

  final List<Node> nodes = new ArrayList<>();
  final List<String> seen = Collections.synchronizedList(new ArrayList<>());
  final Map<String, List<Mode>> ran = new ConcurrentHashMap<>();

  /** When each was last seen by a node. */
  final Map<String, Long> seenAt = new ConcurrentHashMap<>();

  ServerSocket discovery = listen(0);
  volatile String asked = "";
  final int port;
  final Router router = new Router();
  final AtomicInteger calls = new AtomicInteger();
  volatile boolean refusesCalls;
  private final boolean serves;
  private volatile Socket watch;

  /**
   * Routers here count the descriptors of the whole process: what is left open narrows the next
   * one's.
   */
  private final List<Socket> watches = Collections.synchronizedList(new ArrayList<>());

  final Path file = Files.createTempFile("start", ".json");

  /** A router with its primary and two replicas, serving. */
  SocketWorld() throws Exception {
    this(true);
  }

  /** Else the router is the caller's to start, with the file. */
  SocketWorld(boolean serves) throws Exception {
    this.serves = serves;
    for (int i = 0; i < 3; i++) {
      nodes.add(new Node("s-" + i, i == 0));
    }
    accept(discovery, this::follow);
    try (ServerSocket free = listen(0)) {
      port = free.getLocalPort();
    }
    writeStart();
    if (serves) {
      router.start(file, null);
    }
  }

  static String startFile(int listen, int discovery, String known) {
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
        .formatted(listen, discovery, known);
  }

  /** One that carries nothing out. */
  public static basaltlever.core.StatementRouter<String> core() {
    try {
      return new basaltlever.core.StatementRouter<>(
          new Silent(),
          values().loadBalancerFactory(1, new Moment(0), values().defaultHoldBudget()));
    } catch (InvalidSettingsException fault) {
      throw new AssertionError(fault);
    }
  }

  public static StartValues values() throws InvalidSettingsException {
    return StartFile.of(startFile(1, 2, "[]")).startValues();
  }

  String entries() {
    return nodes.stream()
        .map(
            n ->
                "{\"instanceId\":\""
                    + n.id
                    + "\",\"hostPort\":\"127.0.0.1:"
                    + n.server.getLocalPort()
                    + "\",\"zone\":\"a\",\"cell\":1,\"lifecycle\":\""
                    + n.listed
                    + "\",\"weight\":1,\"startedAtMs\":0}")
        .toList()
        .toString();
  }

  private void follow(Socket socket) throws IOException {
    calls.incrementAndGet();
    watches.add(socket);
    byte[] head = new byte[4_096];
    asked =
        new String(
            head, 0, Math.max(0, socket.getInputStream().read(head)), StandardCharsets.US_ASCII);
    if (refusesCalls) {
      send(
          socket,
          Unpooled.copiedBuffer(
              "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", StandardCharsets.UTF_8));
      socket.close();
      return;
    }
    watch = socket;
    send(
        socket,
        Unpooled.copiedBuffer(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", StandardCharsets.UTF_8));
    tell();
  }

  /** Writes the list as it is now to the open watch. */
  void tell() throws IOException {
    String line =
        "{\"generation\":"
            + (2 + calls.get())
            + ",\"reset\":true,\"instances\":"
            + entries()
            + "}\n";
    send(
        watch,
        Unpooled.copiedBuffer(
            Integer.toHexString(line.length()) + "\r\n" + line + "\r\n", StandardCharsets.UTF_8));
  }

  /** To another address, in the start file as well; the open watch stays open. */
  void moveDiscovery() throws IOException {
    discovery.close();
    discovery = listen(0);
    accept(discovery, this::follow);
    writeStart();
  }

  /**
   * As many descriptors for each router, whatever the routers and stand-ins before it left open
   * here.
   */
  private void writeStart() throws IOException {
    writeStart(text -> text);
  }

  void writeStart(java.util.function.UnaryOperator<String> changed) throws IOException {
    Files.writeString(
        file,
        changed.apply(
            startFile(port, discovery.getLocalPort(), entries())
                .replace("\"sockets\":200", "\"sockets\":" + (steadyDescriptors() + 140))));
  }

  /**
   * Counted while earlier stand-ins still close theirs, a router would be left far more than was
   * meant.
   */
  private static int steadyDescriptors() {
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

  void breakWatch() throws IOException {
    watch.close();
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

  static byte[] description(int columns) {
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

  static byte[] data(int columns, String value) {
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

  static void row(ByteBuf out, String value) {
    out.writeBytes(description(1)).writeBytes(data(1, value));
    MessageEncoder.writeCommandComplete(out, "SELECT 1");
  }

  public static ServerSocket listen(int port) {
    try {
      return new ServerSocket(port, 50, java.net.InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  private static void accept(ServerSocket server, Serving with) {
    thread(
        () -> {
          while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            thread(() -> with.serve(socket));
          }
        });
  }

  private interface Step {
    void run() throws IOException;
  }

  private static void thread(Step step) {
    Thread thread =
        new Thread(
            () -> {
              try {
                step.run();
              } catch (IOException e) {
                // The other side has gone, or this one was told to end.
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
      check(!serves || router.activeBuffers() == 0, "a buffer was not released");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    discovery.close();
    for (Socket open : List.copyOf(watches)) {
      open.close();
    }
    Files.delete(file);
    for (Node node : nodes) {
      node.dies();
    }
  }
}
