package basaltlever.discovery;

import basaltlever.agree.Doubt;
import basaltlever.agree.Roll;
import basaltlever.agree.Said;
import basaltlever.config.Addresses;
import basaltlever.core.Core;
import basaltlever.gateway.Listing;
import basaltlever.json.Json;
import basaltlever.json.JsonFault;
import basaltlever.log.Event;
import basaltlever.log.Tally;
import basaltlever.time.Moment;
import basaltlever.view.Known;
import basaltlever.view.NodeView;
import basaltlever.view.Recollection;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/** Takes in lists of members and changes of them, from discovery or as held at the last start. */
public final class MemberList {
    private static final Logger LOG = LoggerFactory.getLogger(MemberList.class);
    private static final double LONGEST = 1e15;
    private final Core<String> core;
    private final List<String> zones;
    private final BiConsumer<String, InetSocketAddress> addresses;
    /** What the fleet makes of this list; null where this router is of none, and the list holds as it is told. */
    private Roll roll;
    /** By the fleet only: the latest entry of each member, and what the decisions were told of it last. */
    private final Map<String, Map<?, ?>> latest = new LinkedHashMap<>();
    private final Map<String, Roll.Use> used = new HashMap<>();
    private final Map<String, Map<?, ?>> told = new HashMap<>();
    private long applied = -1;
    private Tally heldOff;
    private long generation;
    private Recollection recollection = Recollection.NONE;
    private Consumer<String> absent = node -> { };

    /** Hands each member's address on as it comes. */
    public MemberList(Core<String> core, List<String> zones,
                      BiConsumer<String, InetSocketAddress> addresses) {
        this.core = core;
        this.zones = zones;
        this.addresses = addresses;
    }

    /** The version to ask for changes after. */
    public long generation() {
        return generation;
    }

    /** The next call brings the whole list. */
    public void forget() {
        generation = 0;
    }

    /**
     * What an earlier process knew of the members, until a list that was asked for has come; those that it
     * had no answers from are told on.
     */
    public void recalls(Recollection from, Consumer<String> absentOnes) {
        recollection = from;
        absent = absentOnes;
    }

    /**
     * Where no list is at hand yet: the members of an earlier process are connected to and polled meanwhile.
     * They are held to drain until a list names them, so that nothing is sent to one on the word of a file.
     */
    public void expect(Moment now) {
        core.listBegins();
        for (Known known : recollection.members()) {
            InetSocketAddress address = Addresses.parse(known.address());
            if (address != null) {
                NodeView view = known.view();
                addresses.accept(known.id(), address);
                if (roll != null) {
                    latest.put(known.id(), Map.of("instanceId", known.id(), "hostPort", known.address(), "cell",
                        BigDecimal.valueOf(view.group())));
                    used.put(known.id(), new Roll.Use(Listing.DRAINING, view.group()));
                }
                core.listed(now, known.id(), Listing.DRAINING, view.group(), -1, 1,
                    view.listedStart() == 0 ? Moment.LONG_AGO : new Moment(view.listedStart()));
                if (view.silent() || view.isDown()) {
                    absent.accept(known.id());
                }
            }
        }
        core.listEnds(now, false, false);
    }

    public static Map<?, ?> parse(String line) throws ListFault {
        try {
            if (Json.read(line) instanceof Map<?, ?> list) {
                return list;
            }
        } catch (JsonFault fault) {
            throw new ListFault("a line of the list is no JSON: " + fault.getMessage());
        }
        throw new ListFault("a line of the list is no object");
    }

    /** Throws before anything is taken in where the list is not sound. */
    public void take(Moment now, Map<?, ?> list, boolean asked) throws ListFault {
        boolean whole = Boolean.TRUE.equals(list.get("reset"));
        long version = (long) number(list, "generation", 0);
        if (!(list.get("instances") instanceof List<?> entries)) {
            throw new ListFault("a list has no instances");
        }
        if (version < generation && !whole) {
            // A service that lost its state counts anew: its changes don't belong to the list held here.
            throw new ListFault("the list's generation went from " + generation + " back to " + version);
        }
        for (Object entry : entries) {
            if (!(entry instanceof Map<?, ?> member) || !(member.get("instanceId") instanceof String)) {
                throw new ListFault("an entry of the list has no instanceId");
            }
            if (state(member) != Listing.GONE && address(member) == null) {
                throw new ListFault("entry " + member.get("instanceId") + " has no hostPort");
            }
            number(member, "cell", 0);
            number(member, "weight", 1);
            number(member, "startedAtMs", 0);
        }
        generation = version;
        if (roll != null) {
            heed(now, entries, whole, version, asked);
            return;
        }
        boolean drainsBind = false;
        core.listBegins();
        for (Object entry : entries) {
            Map<?, ?> member = (Map<?, ?>) entry;
            drainsBind |= list(now, member, new Roll.Use(state(member), (int) number(member, "cell", 0)), version,
                asked);
        }
        ends(now, drainsBind, whole, asked);
    }

    private void ends(Moment now, boolean drainsBind, boolean whole, boolean asked) {
        core.recalled(now, recollection.groups());
        if (drainsBind) {
            // Only the whole list says whether that is over: changes after this version may not name the
            // node.
            forget();
        }
        if (asked) {
            recollection = Recollection.NONE;
        }
        core.listEnds(now, whole, asked);
    }

    /** True where what an earlier process knew of the member keeps it from being used. */
    private boolean list(Moment now, Map<?, ?> member, Roll.Use use, long version, boolean asked)
        throws ListFault {
        String id = (String) member.get("instanceId");
        InetSocketAddress address = address(member);
        if (address != null) {
            addresses.accept(id, address);
        }
        long startedAt = (long) number(member, "startedAtMs", 0);
        core.listed(now, id, use.listing(), use.group(), member.get("zone") instanceof String zone
            ? zones.indexOf(zone) : -1, number(member, "weight", 1), startedAt == 0 ? Moment.LONG_AGO
                : new Moment(startedAt * 1_000));
        NodeView known = address == null ? null : recollection.of(id, Addresses.text(address),
            startedAt * 1_000, version, asked);
        if (known == null) {
            return false;
        }
        core.recalled(now, id, known);
        if (known.silent() || known.isDown()) {
            absent.accept(id);
        }
        return known.drains();
    }

    // ---- Lists on which a fleet agrees.

    /** From here on each list is taken as far as the fleet bears it out. */
    public void agreeBy(Roll fleet, Supplier<Moment> clock) {
        roll = fleet;
        heldOff = new Tally(LOG, Event.LIST_HELD, clock);
    }

    private void heed(Moment now, List<?> entries, boolean whole, long version, boolean asked) throws ListFault {
        Map<String, Said> said = new LinkedHashMap<>();
        for (Object entry : entries) {
            Map<?, ?> member = (Map<?, ?>) entry;
            String id = (String) member.get("instanceId");
            said.put(id, new Said(state(member), (int) number(member, "cell", 0)));
            // One that is gone may be named without its address: it stays as it was told.
            if (address(member) != null || !latest.containsKey(id)) {
                latest.put(id, member);
            }
        }
        Doubt doubt = roll.told(now, whole, version, said);
        if (doubt != Doubt.NONE) {
            heldOff.note(version, doubt.name());
        }
        apply(now, version, asked);
    }

    /** Tells the decisions what has changed in what the fleet bears out; all of it is told at the first call. */
    public void apply(Moment now) {
        if (roll.revision(now) == applied) {
            return;
        }
        try {
            apply(now, generation, false);
        } catch (ListFault impossible) {
            // Each entry was looked through when it came.
            throw new IllegalStateException(impossible);
        }
    }

    private void apply(Moment now, long version, boolean asked) throws ListFault {
        applied = roll.revision(now);
        Set<String> members = roll.members();
        members.addAll(used.keySet());
        boolean begun = asked;
        boolean drainsBind = false;
        if (asked) {
            core.listBegins();
        }
        for (String id : members) {
            Roll.Use use = roll.use(now, id);
            Map<?, ?> entry = latest.get(id);
            boolean isNew = entry != told.put(id, entry);
            Roll.Use before = used.get(id);
            if (entry == null || use.equals(before) && !isNew || before == null
                && use.listing() == Listing.GONE) {
                continue;
            }
            if (!begun) {
                core.listBegins();
                begun = true;
            }
            if (before != null && before.group() != use.group()) {
                Event.MEMBER_MOVES.log(LOG, Level.INFO, "", id, use.group(), use.listing());
            }
            drainsBind |= list(now, entry, use, version, asked);
            used.put(id, use);
        }
        if (begun) {
            ends(now, drainsBind, false, asked);
        }
        used.values().removeIf(use -> use.listing() == Listing.GONE);
        told.keySet().retainAll(used.keySet());
        latest.keySet().retainAll(members);
    }

    private static InetSocketAddress address(Map<?, ?> member) {
        return member.get("hostPort") instanceof String text ? Addresses.parse(text) : null;
    }

    /** A state that is not known here is no invitation: nothing new goes there. */
    private static Listing state(Map<?, ?> member) {
        Object state = member.get("lifecycle");
        return "in_service".equals(state) ? Listing.READY
            : "terminated".equals(state) ? Listing.GONE : Listing.DRAINING;
    }

    private static double number(Map<?, ?> from, String name, double otherwise) throws ListFault {
        Object value = from.get(name);
        if (value == null) {
            return otherwise;
        }
        if (value instanceof BigDecimal number && number.doubleValue() >= 0
            && number.doubleValue() <= LONGEST) {
            return number.doubleValue();
        }
        throw new ListFault("the list's " + name + " is no number");
    }
}
