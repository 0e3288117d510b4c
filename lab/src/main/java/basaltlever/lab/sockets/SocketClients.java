package basaltlever.lab.sockets;

import basaltlever.lab.load.StatementTransport;
import basaltlever.lab.world.SimulatedCluster;
import basaltlever.lab.world.Statement;
import basaltlever.pg.MemoryBudget;
import basaltlever.pg.MessageDecoder;
import basaltlever.pg.MessageEncoder;
import basaltlever.pg.ProtocolException;
import basaltlever.pg.QueryResponse;
import basaltlever.time.Span;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Clients on sockets. Connections to each router are reused; a new one is opened when all are busy.
 */
final class SocketClients implements StatementTransport {
  private final SimulatedCluster cluster;
  private final List<InetSocketAddress> routers;
  private final Bootstrap bootstrap;
  private final List<ArrayDeque<ClientConnection>> idleConnections;
  private final Map<Statement, ClientConnection> busyConnections = new LinkedHashMap<>();
  private final boolean[] down;

  SocketClients(SimulatedCluster cluster, List<InetSocketAddress> routers, EventLoop loop) {
    this.cluster = cluster;
    this.routers = routers;
    down = new boolean[routers.size()];
    bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true);
    idleConnections = routers.stream().map(router -> new ArrayDeque<ClientConnection>()).toList();
  }

  @Override
  public void submit(Statement statement, ResponseListener listener) {
    ClientConnection client = idleConnections.get(statement.router).pollLast();
    if (client == null) {
      client = new ClientConnection(statement.router);
      ClientConnection opened = client;
      bootstrap
          .clone()
          .handler(client)
          .connect(routers.get(statement.router))
          .addListener(
              done -> {
                if (!done.isSuccess()) {
                  opened.onConnectionClosed();
                }
              });
    }
    busyConnections.put(statement, client);
    client.start(statement, listener);
  }

  @Override
  public boolean isReachable(int router) {
    return !down[router];
  }

  /** Marks a router as killed or as running again. Statements open on a killed router are lost. */
  void setRouterDown(int router, boolean isDown) {
    down[router] = isDown;
    if (isDown) {
      for (ClientConnection client : List.copyOf(busyConnections.values())) {
        client.onRouterStopped(router);
      }
    }
  }

  @Override
  public void abandon(Statement statement) {
    ClientConnection client = busyConnections.remove(statement);
    if (client != null) {
      client.abandonStatement();
    }
  }

  /** A client connection to a router, with at most one open statement. */
  private final class ClientConnection extends ChannelInboundHandlerAdapter {
    private final int router;
    private final MessageDecoder decoder =
        new MessageDecoder(1 << 21, new MemoryBudget(Long.MAX_VALUE));
    private Channel channel;
    private Statement statement;
    private ResponseListener listener;
    private QueryResponse response;
    private boolean ready;
    private String errorCode;
    private String errorDetail;

    /**
     * Whether a statement has completed on this connection. If the router closes such a connection
     * between two statements, the client retries the second one on another connection.
     */
    private boolean hasServedStatement;

    ClientConnection(int router) {
      this.router = router;
    }

    void start(Statement newStatement, ResponseListener newListener) {
      statement = newStatement;
      listener = newListener;
      response = new QueryResponse();
      errorCode = null;
      if (ready) {
        sendQuery();
      }
    }

    private void sendQuery() {
      ByteBuf out = channel.alloc().buffer();
      long remainingMillis = Math.max(1, statement.deadline.since(cluster.now()).micros() / 1_000);
      MessageEncoder.writeQuery(
          out,
          "/* id="
              + statement.id
              + ",c="
              + statement.workload.name()
              + ",d="
              + remainingMillis
              + ",cluster="
              + statement.group
              + (statement.requiredCommitMillis > 0
                  ? ",after=" + statement.requiredCommitMillis
                  : "")
              + " */ "
              + (statement.workload.isWrite()
                  ? "INSERT INTO items (id, doc) VALUES ('s"
                      + statement.session
                      + "', '\\x9f') RETURNING doc"
                  : "SELECT doc FROM items WHERE id = 's" + statement.session + "'"));
      channel.writeAndFlush(out);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      channel = context.channel();
      ByteBuf out = context.alloc().buffer();
      MessageEncoder.writeStartupMessage(out, "app", "shop");
      context.writeAndFlush(out);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) throws ProtocolException {
      decoder.add((ByteBuf) bytes);
      for (ByteBuf message = decoder.nextMessage();
          message != null;
          message = decoder.nextMessage()) {
        handleMessage(message);
      }
    }

    private void handleMessage(ByteBuf message) throws ProtocolException {
      byte type = message.getByte(message.readerIndex());
      if (!ready) {
        if (type == 'Z') {
          ready = true;
          if (statement != null) {
            sendQuery();
          }
        }
        return;
      }
      if (type == 'E') {
        errorCode = QueryResponse.errorField(message, 'C');
        errorDetail = QueryResponse.errorField(message, 'D');
      }
      if (response != null && response.add(message)) {
        completeStatement();
      }
    }

    private void completeStatement() {
      Statement completed = statement;
      ResponseListener completedListener = listener;
      QueryResponse finishedResponse = response;
      statement = null;
      response = null;
      hasServedStatement = true;
      if (completed == null) {
        finishedResponse.release();
        return;
      }
      busyConnections.remove(completed);
      idleConnections.get(router).add(this);
      if (finishedResponse.isSingleRow()) {
        completedListener.onCompleted(finishedResponse.value());
      } else if ("53300".equals(errorCode) || "57P03".equals(errorCode)) {
        completedListener.onRejected(
            Span.ofMillis(errorDetail.matches("\\d{1,6}") ? Integer.parseInt(errorDetail) : 0));
      } else {
        completedListener.onAborted();
      }
      finishedResponse.release();
    }

    void onRouterStopped(int stoppedRouter) {
      Statement interrupted = statement;
      if (stoppedRouter == router && interrupted != null) {
        statement = null;
        busyConnections.remove(interrupted);
        listener.onRouterKilled();
        abandonStatement();
      }
    }

    void abandonStatement() {
      statement = null;
      if (channel != null) {
        channel.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      onConnectionClosed();
    }

    void onConnectionClosed() {
      idleConnections.get(router).remove(this);
      decoder.release();
      Statement interrupted = statement;
      statement = null;
      if (interrupted != null && busyConnections.remove(interrupted, this) && hasServedStatement) {
        // The router closed the idle connection while this statement was on its way.
        SocketClients.this.submit(interrupted, listener);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
