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
  private final SimulatedCluster world;
  private final List<InetSocketAddress> routers;
  private final Bootstrap bootstrap;
  private final List<ArrayDeque<ClientConnection>> idleConnections;
  private final Map<Statement, ClientConnection> busyConnections = new LinkedHashMap<>();
  private final boolean[] down;

  SocketClients(SimulatedCluster world, List<InetSocketAddress> routers, EventLoop loop) {
    this.world = world;
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
  public void submit(Statement ask, ResponseListener callback) {
    ClientConnection client = idleConnections.get(ask.router).pollLast();
    if (client == null) {
      client = new ClientConnection(ask.router);
      ClientConnection opened = client;
      bootstrap
          .clone()
          .handler(client)
          .connect(routers.get(ask.router))
          .addListener(
              done -> {
                if (!done.isSuccess()) {
                  opened.onConnectionClosed();
                }
              });
    }
    busyConnections.put(ask, client);
    client.start(ask, callback);
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
  public void abandon(Statement ask) {
    ClientConnection client = busyConnections.remove(ask);
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
    private Statement ask;
    private ResponseListener callback;
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

    void start(Statement newAsk, ResponseListener newCallback) {
      ask = newAsk;
      callback = newCallback;
      response = new QueryResponse();
      errorCode = null;
      if (ready) {
        sendQuery();
      }
    }

    private void sendQuery() {
      ByteBuf out = channel.alloc().buffer();
      long remainingMillis = Math.max(1, ask.deadline.since(world.now()).micros() / 1_000);
      MessageEncoder.writeQuery(
          out,
          "/* id="
              + ask.id
              + ",c="
              + ask.workload.name()
              + ",d="
              + remainingMillis
              + ",cluster="
              + ask.group
              + (ask.requiredCommitMillis > 0 ? ",after=" + ask.requiredCommitMillis : "")
              + " */ "
              + (ask.workload.isWrite()
                  ? "INSERT INTO items (id, doc) VALUES ('s"
                      + ask.session
                      + "', '\\x9f') RETURNING doc"
                  : "SELECT doc FROM items WHERE id = 's" + ask.session + "'"));
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
      for (ByteBuf m = decoder.nextMessage(); m != null; m = decoder.nextMessage()) {
        handleMessage(m);
      }
    }

    private void handleMessage(ByteBuf message) throws ProtocolException {
      byte type = message.getByte(message.readerIndex());
      if (!ready) {
        if (type == 'Z') {
          ready = true;
          if (ask != null) {
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
      Statement completed = ask;
      ResponseListener completedCallback = callback;
      QueryResponse finishedResponse = response;
      ask = null;
      response = null;
      hasServedStatement = true;
      if (completed == null) {
        finishedResponse.release();
        return;
      }
      busyConnections.remove(completed);
      idleConnections.get(router).add(this);
      if (finishedResponse.isSingleRow()) {
        completedCallback.onCompleted(finishedResponse.value());
      } else if ("53300".equals(errorCode) || "57P03".equals(errorCode)) {
        completedCallback.onRejected(
            Span.ofMillis(errorDetail.matches("\\d{1,6}") ? Integer.parseInt(errorDetail) : 0));
      } else {
        completedCallback.onAborted();
      }
      finishedResponse.release();
    }

    void onRouterStopped(int stoppedRouter) {
      Statement interrupted = ask;
      if (stoppedRouter == router && interrupted != null) {
        ask = null;
        busyConnections.remove(interrupted);
        callback.onRouterKilled();
        abandonStatement();
      }
    }

    void abandonStatement() {
      ask = null;
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
      Statement interrupted = ask;
      ask = null;
      if (interrupted != null && busyConnections.remove(interrupted, this) && hasServedStatement) {
        // The router closed the idle connection while this statement was on its way.
        SocketClients.this.submit(interrupted, callback);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
