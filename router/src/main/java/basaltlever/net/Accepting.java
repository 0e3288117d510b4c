package basaltlever.net;

import basaltlever.log.Tally;
import basaltlever.time.Span;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SingleThreadEventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Stands before Netty's own acceptor, which stops accepting for a whole second after any fault: a client that
 * broke off at the wrong moment would cost all those behind it their time, unread in the listener's queue.
 */
@ChannelHandler.Sharable
final class Accepting extends ChannelInboundHandlerAdapter {
    /** Without a pause a listener for which there is no descriptor would take the whole loop. */
    private static final Span PAUSE = Span.ofMillis(10);
    private final Tally faults;
    private int accepted;

    Accepting(Tally faults) {
        this.faults = faults;
    }

    /**
     * Closed over a connection that the machine has accepted and this loop has not, a listener resets it. So it
     * is closed behind a look at all sockets that has found none, however many came at once.
     */
    void closeOnceQuiet(Channel listener, Runnable then) {
        SingleThreadEventLoop loop = (SingleThreadEventLoop) listener.eventLoop();
        int before = accepted;
        // By way of a task: what is put behind an iteration from behind it would run in it.
        loop.executeAfterEventLoopIteration(() -> loop.execute(() -> loop.executeAfterEventLoopIteration(() -> {
            if (accepted != before) {
                closeOnceQuiet(listener, then);
            } else {
                listener.close();
                // Its socket is closed in the loop's next look: whoever is told to go before comes back to be reset.
                loop.execute(then);
            }
        })));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object connection) {
        accepted++;
        context.fireChannelRead(connection);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        faults.note("listener", cause.toString());
        context.channel().config().setAutoRead(false);
        context.channel().eventLoop().schedule(() -> context.channel().config().setAutoRead(true),
            PAUSE.micros(), TimeUnit.MICROSECONDS);
    }
}
