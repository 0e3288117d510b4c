package basaltlever.lab.sockets;

import basaltlever.lab.load.Front;
import basaltlever.lab.world.Ask;
import basaltlever.lab.world.World;
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
 * Clients on sockets: each router's are kept and used again, and more are opened when all are busy.
 */
final class ClientFront implements Front {
  private final World world;
  private final List<InetSocketAddress> routers;
  private final Bootstrap bootstrap;
  private final List<ArrayDeque<Client>> idle;
  private final Map<Ask, Client> busy = new LinkedHashMap<>();
  private final boolean[] down;

  ClientFront(World world, List<InetSocketAddress> routers, EventLoop loop) {
    this.world = world;
    this.routers = routers;
    down = new boolean[routers.size()];
    bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true);
    idle = routers.stream().map(router -> new ArrayDeque<Client>()).toList();
  }

  @Override
  public void ask(Ask ask, Told told) {
    Client client = idle.get(ask.router).pollLast();
    if (client == null) {
      client = new Client(ask.router);
      Client opened = client;
      bootstrap
          .clone()
          .handler(client)
          .connect(routers.get(ask.router))
          .addListener(
              done -> {
                if (!done.isSuccess()) {
                  opened.gone();
                }
              });
    }
    busy.put(ask, client);
    client.ask(ask, told);
  }

  @Override
  public boolean serves(int router) {
    return !down[router];
  }

  /** It was ended by force, or is back. */
  void isDown(int router, boolean now) {
    down[router] = now;
    if (now) {
      for (Client client : List.copyOf(busy.values())) {
        client.lostRouter(router);
      }
    }
  }

  @Override
  public void leave(Ask ask) {
    Client client = busy.remove(ask);
    if (client != null) {
      client.leaves();
    }
  }

  private final class Client extends ChannelInboundHandlerAdapter {
    private final int router;
    private final MessageDecoder decoder =
        new MessageDecoder(1 << 21, new MemoryBudget(Long.MAX_VALUE));
    private Channel channel;
    private Ask ask;
    private Told told;
    private QueryResponse response;
    private boolean ready;
    private String error;
    private String detail;

    /**
     * A connection that a router closed between statements costs a client one more try on a new
     * one.
     */
    private boolean used;

    Client(int router) {
      this.router = router;
    }

    void ask(Ask next, Told of) {
      ask = next;
      told = of;
      response = new QueryResponse();
      error = null;
      if (ready) {
        send();
      }
    }

    private void send() {
      ByteBuf out = channel.alloc().buffer();
      long left = Math.max(1, ask.leaves.since(world.now()).micros() / 1_000);
      MessageEncoder.writeQuery(
          out,
          "/* id="
              + ask.id
              + ",c="
              + ask.kind.name()
              + ",d="
              + left
              + ",cluster="
              + ask.group
              + (ask.after > 0 ? ",after=" + ask.after : "")
              + " */ "
              + (ask.kind.isWrite()
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
    public void channelRead(ChannelHandlerContext context, Object in) throws ProtocolException {
      decoder.add((ByteBuf) in);
      for (ByteBuf m = decoder.nextMessage(); m != null; m = decoder.nextMessage()) {
        message(m);
      }
    }

    private void message(ByteBuf message) throws ProtocolException {
      byte type = message.getByte(message.readerIndex());
      if (!ready) {
        if (type == 'Z') {
          ready = true;
          if (ask != null) {
            send();
          }
        }
        return;
      }
      if (type == 'E') {
        error = QueryResponse.errorField(message, 'C');
        detail = QueryResponse.errorField(message, 'D');
      }
      if (response != null && response.add(message)) {
        ended();
      }
    }

    private void ended() {
      Ask of = ask;
      Told to = told;
      QueryResponse whole = response;
      ask = null;
      response = null;
      used = true;
      if (of == null) {
        whole.release();
        return;
      }
      busy.remove(of);
      idle.get(router).add(this);
      if (whole.isSingleRow()) {
        to.completed(whole.value());
      } else if ("53300".equals(error) || "57P03".equals(error)) {
        to.rejected(Span.ofMillis(detail.matches("\\d{1,6}") ? Integer.parseInt(detail) : 0));
      } else {
        to.aborted();
      }
      whole.release();
    }

    void lostRouter(int which) {
      Ask of = ask;
      if (which == router && of != null) {
        ask = null;
        busy.remove(of);
        told.lost();
        leaves();
      }
    }

    void leaves() {
      ask = null;
      if (channel != null) {
        channel.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      gone();
    }

    void gone() {
      idle.get(router).remove(this);
      decoder.release();
      Ask of = ask;
      ask = null;
      if (of != null && busy.remove(of, this) && used) {
        // Closed between two statements, which crossed: it is asked once more on a new one.
        ClientFront.this.ask(of, told);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
