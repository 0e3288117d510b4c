package basaltlever.adapter;

import basaltlever.Balance;
import basaltlever.gateway.Ending;
import basaltlever.gateway.Listing;
import basaltlever.gateway.Outbound;
import basaltlever.gateway.Role;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.SplittableRandom;

/** One router's decisions with the ids of its wire: addresses and tickets become small indices here. */
final class Instance implements Outbound {
    static final int ENTRY = 28;
    private static final Ending[] ENDINGS = new Ending[15];

    static {
        Arrays.fill(ENDINGS, Ending.UNKNOWN);
        ENDINGS[0] = Ending.COMPLETED;
        ENDINGS[1] = Ending.CANCELLED;
        ENDINGS[4] = Ending.TIMED_OUT;
        ENDINGS[5] = Ending.MISS;
        ENDINGS[8] = Ending.FULL;
        ENDINGS[9] = Ending.NEVER_SENT;
        ENDINGS[10] = Ending.RESET;
        ENDINGS[13] = Ending.ERROR;
        ENDINGS[14] = Ending.NO_CONNECTION;
    }

    private final int number;
    private final Reply reply;
    private final Balance balance;
    private final long origin;
    private final int positionField;
    private final int primaryField;
    private final int utilField;

    private final Indices nodes = new Indices();
    private long[] addresses = new long[32];
    private int nodeCount;

    private final Indices slots = new Indices();
    private long[] tickets = new long[256];
    /** Executions still out, and one more while the final answer is owed: at zero the slot is free again. */
    private int[] pending = new int[256];
    private boolean[] answered = new boolean[256];
    private int[] free = new int[256];
    private int freeCount;
    private int slotCount;

    Instance(int number, Reply reply, long seed, String settings, Moment now) throws WireFault {
        this.number = number;
        this.reply = reply;
        StartValues start = new StartValues(settings);
        origin = start.origin();
        positionField = start.field("x0");
        primaryField = start.field("x1");
        utilField = start.field("utilization");
        balance = new Balance(this, new SplittableRandom(seed), start.standing(), start.workloads(),
            start.replication(), start.drains(), start.warmUp(), start.allowance(), start.connections(), now);
    }

    void list(Moment now, int kind, ByteBuffer entries) {
        if (kind == 0 || entries == null) {
            balance.listFailed(now);
            return;
        }
        balance.listBegins();
        for (int at = 0; at + ENTRY <= entries.limit(); at += ENTRY) {
            int state = entries.get(at);
            Listing listing = state == 3 ? Listing.READY : state == 1 ? Listing.DRAINING : Listing.GONE;
            long startedAt = entries.getLong(at + 17);
            balance.listed(now, node(address(entries, at + 7)), listing, entries.getShort(at + 26) & 0xffff,
                entries.getShort(at + 5) & 0xffff, entries.getFloat(at + 13),
                startedAt == 0 ? Moment.LONG_AGO : new Moment(startedAt));
        }
        balance.listEnds(now, kind != 1, kind != 2);
    }

    void incoming(Moment now, ByteBuffer in, int at) throws WireFault {
        long ticket = in.getInt(at) & 0xffffffffL;
        if (slots.find(ticket) >= 0) {
            throw new WireFault("request " + ticket + " came twice");
        }
        int slot = freeCount > 0 ? free[--freeCount] : slotCount++;
        if (slot >= tickets.length) {
            int size = 2 * tickets.length;
            tickets = Arrays.copyOf(tickets, size);
            pending = Arrays.copyOf(pending, size);
            answered = Arrays.copyOf(answered, size);
            free = Arrays.copyOf(free, size);
        }
        slots.put(ticket, slot);
        tickets[slot] = ticket;
        pending[slot] = 1;
        answered[slot] = false;
        // A float holds the token only nearly: the next smaller one puts the commit later, never earlier.
        float token = in.getFloat(at + 33);
        Moment committed = token > 0
            ? now.minus(Span.ofMillis(Math.nextDown(token))).plus(new Span(1)) : Moment.LONG_AGO;
        balance.taken(now, slot, in.get(at + 4) & 0xff, (int) in.getFloat(at + 29), in.getLong(at + 9),
            new Moment(in.getLong(at + 17)), committed);
    }

    void outcome(Moment now, ByteBuffer in, int at) {
        int slot = slots.find(in.getInt(at) & 0xffffffffL);
        if (slot < 0) {
            return;
        }
        int code = in.getShort(at + 9) & 0xffff;
        long stand = in.getInt(at + 11) & 0xffffffffL;
        boolean terminal = in.get(at + 21) != 0;
        Ending ending = code < ENDINGS.length ? ENDINGS[code] : Ending.UNKNOWN;
        long millis = stand >> 2;
        boolean known = balance.ended(now, slot, in.get(at + 4) & 0xff, ending,
            (stand & 3) == 1 ? Role.PRIMARY : (stand & 3) == 2 ? Role.REPLICA : Role.UNTOLD,
            millis == 0 ? Moment.LONG_AGO : new Moment(origin + millis * 1_000), terminal);
        if (terminal) {
            settle(slot);
        }
        if (known) {
            release(slot);
        }
    }

    void polled(Moment now, ByteBuffer in, int at) {
        int node = nodes.find(address(in, at));
        if (node < 0) {
            return;
        }
        int code = in.getShort(at + 6) & 0xffff;
        int count = in.get(at + 12) & 0xff;
        float x0 = value(in, at + 13, count, positionField);
        // Rounded down, since a position that is too new would let a stale read through.
        Moment position = Float.isNaN(x0) || Float.isInfinite(x0) || x0 <= 0 ? Moment.LONG_AGO
            : new Moment(origin + (long) Math.floor(Math.nextDown(x0) * 1e6));
        float x1 = value(in, at + 13, count, primaryField);
        Role role = x1 >= 0.5f ? Role.PRIMARY : x1 >= 0 ? Role.REPLICA : Role.UNTOLD;
        balance.polled(now, node, code < ENDINGS.length ? ENDINGS[code] : Ending.UNKNOWN,
            count == 0 ? Role.UNTOLD : role, position, value(in, at + 13, count, utilField));
    }

    private static float value(ByteBuffer in, int at, int count, int field) {
        return field >= 0 && field < count ? in.getFloat(at + 4 * field) : Float.NaN;
    }

    void clientLeft(Moment now, ByteBuffer in, int at) {
        int slot = slots.find(in.getInt(at) & 0xffffffffL);
        if (slot >= 0) {
            balance.clientLeft(now, slot);
            settle(slot);
        }
    }

    void woken(Moment now) {
        balance.woken(now);
    }

    private int node(long address) {
        int node = nodes.find(address);
        if (node < 0) {
            node = nodeCount++;
            if (node == addresses.length) {
                addresses = Arrays.copyOf(addresses, 2 * node);
            }
            addresses[node] = address;
            nodes.put(address, node);
        }
        return node;
    }

    private static long address(ByteBuffer in, int at) {
        return in.getInt(at) & 0xffffffffL | (in.getShort(at + 4) & 0xffffL) << 32;
    }

    private void settle(int slot) {
        if (!answered[slot]) {
            answered[slot] = true;
            release(slot);
        }
    }

    private void release(int slot) {
        if (--pending[slot] == 0) {
            slots.remove(tickets[slot]);
            free[freeCount++] = slot;
        }
    }

    private ByteBuffer putNode(ByteBuffer out, int node) {
        return out.putInt((int) addresses[node]).putShort((short) (addresses[node] >> 32));
    }

    @Override
    public void execute(int statement, int node, Span timeout) {
        pending[statement]++;
        putNode(reply.record(number, 7, 14).putInt((int) tickets[statement]), node)
            .putInt((int) timeout.micros());
    }

    @Override
    public void cancel(int statement, int execution) {
        reply.record(number, 12, 5).putInt((int) tickets[statement]).put((byte) execution);
    }

    @Override
    public void reject(int statement, Span comeBackAfter) {
        reply.record(number, 9, 8).putInt((int) tickets[statement]).putInt((int) comeBackAfter.micros());
        settle(statement);
    }

    @Override
    public void abort(int statement) {
        reply.record(number, 11, 4).putInt((int) tickets[statement]);
        settle(statement);
    }

    @Override
    public void poll(int node) {
        putNode(reply.record(number, 6, 6), node);
    }

    @Override
    public void letGo(int node) {
        putNode(reply.record(number, 1, 6), node);
    }

    @Override
    public void watch() {
        reply.record(number, 13, 1).put((byte) 1);
    }

    @Override
    public void wake(Span fromNow) {
        reply.record(number, 4, 8).putInt((int) Math.max(1, fromNow.micros())).putInt(0);
    }

    @Override
    public void note(String line) {
        text(3, line);
    }

    void broken(String cause) {
        text(10, cause);
    }

    private void text(int code, String line) {
        byte[] words = line.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(words.length, 500);
        reply.record(number, code, 2 + length).putShort((short) length).put(words, 0, length);
    }
}
