package basaltlever.net;

import basaltlever.log.Tally;
import basaltlever.time.Span;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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

    Accepting(Tally faults) {
        this.faults = faults;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        faults.note("listener", cause.toString());
        context.channel().config().setAutoRead(false);
        context.channel().eventLoop().schedule(() -> context.channel().config().setAutoRead(true),
            PAUSE.micros(), TimeUnit.MICROSECONDS);
    }
}
