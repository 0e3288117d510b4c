package basaltlever.fleet;

import basaltlever.config.Terms;
import basaltlever.agree.Grant;
import basaltlever.agree.Report;
import basaltlever.agree.Sight;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/** One instance's part in its fleet: its link, and its voter where it is one. On a loop of its own. */
public final class Fleet implements AutoCloseable {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1,
        NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Voter voter;
    private final Link link;
    private final String name;
    private final Terms terms;
    /** Of this process. */
    private final long incarnation = System.currentTimeMillis();

    /**
     * Beats is run on this fleet's loop when a beat is due, granted with each answer. Throws where the voter
     * can't be started: its folder or its ports.
     */
    public Fleet(Terms terms, String name, SplittableRandom chance, Runnable beats,
                 BiConsumer<Grant, Sight> granted) throws Exception {
        this.terms = terms;
        this.name = name;
        Voter own = null;
        try {
            own = terms.voters().containsKey(name) ? new Voter(terms, name, loop) : null;
        } finally {
            if (own == null && terms.voters().containsKey(name)) {
                group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            }
        }
        voter = own;
        link = new Link(terms, loop, chance, beats, granted);
    }

    /** What a router says of itself and of its list; from any thread. */
    public void beat(long number, long force, long keeps, long refused, String refusal, boolean holds,
                     Report report) {
        Map<String, Object> beat = new LinkedHashMap<>(Map.of("do", "beat", "fleet", terms.name(), "from", name,
            "incarnation", incarnation, "beat", number, "force", force, "keeps", keeps, "refused", refused,
            "refusal", refusal, "holds", holds));
        beat.put("lists", Lists.of(report));
        loop.execute(() -> link.send(beat));
    }

    @Override
    public void close() {
        try {
            loop.submit(link::end).await(500);
            if (voter != null) {
                voter.close();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (java.io.IOException ended) {
            // It ends in any case.
        }
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
}
