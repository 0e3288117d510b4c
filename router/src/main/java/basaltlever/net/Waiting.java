package basaltlever.net;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;

/**
 * The sockets of a loop, waited for until the next timer and no less. The runtime waits in whole milliseconds; Netty
 * rounds what is left to the nearest one, and where that is none it looks at the sockets over and over until the
 * timer is due: up to half a millisecond of a core for each timer, far more than all that a turn does. Here what is
 * left is rounded up, so that a timer comes up to a millisecond late and costs one look.
 */
final class Waiting implements IoHandler {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private final IoHandler sockets;
    private final Rounded rounded = new Rounded();

    private Waiting(IoHandler sockets) {
        this.sockets = sockets;
    }

    static IoHandlerFactory newFactory() {
        IoHandlerFactory sockets = NioIoHandler.newFactory();
        return executor -> new Waiting(sockets.newHandler(executor));
    }

    private static final class Rounded implements IoHandlerContext {
        private IoHandlerContext of;

        private static long up(long nanos) {
            return nanos <= 0 || nanos > Long.MAX_VALUE - MILLI ? nanos : (nanos + MILLI - 1) / MILLI * MILLI;
        }

        @Override
        public boolean canBlock() {
            return of.canBlock();
        }

        @Override
        public long delayNanos(long now) {
            return up(of.delayNanos(now));
        }

        @Override
        public long deadlineNanos() {
            return of.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long nanos) {
            of.reportActiveIoTime(nanos);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return of.shouldReportActiveIoTime();
        }
    }

    @Override
    public int run(IoHandlerContext context) {
        rounded.of = context;
        return sockets.run(rounded);
    }

    @Override
    public void initialize() {
        sockets.initialize();
    }

    @Override
    public void prepareToDestroy() {
        sockets.prepareToDestroy();
    }

    @Override
    public void destroy() {
        sockets.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return sockets.register(handle);
    }

    @Override
    public void wakeup() {
        sockets.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
        return sockets.isCompatible(type);
    }
}
