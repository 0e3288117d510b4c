package basaltlever.discovery;

import basaltlever.config.Addresses;
import basaltlever.core.StatementRouter;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.log.Event;
import basaltlever.log.RateLimitedLog;
import basaltlever.membership.ListAnomaly;
import basaltlever.membership.ListedEndpoint;
import basaltlever.membership.MembershipView;
import basaltlever.snapshot.EndpointState;
import basaltlever.snapshot.KnownEndpoint;
import basaltlever.snapshot.StateRestore;
import basaltlever.time.ClockOffset;
import basaltlever.time.Moment;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
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
public final class EndpointList {
  private static final Logger LOG = LoggerFactory.getLogger(EndpointList.class);
  private final StatementRouter<String> core;
  private final List<String> zones;
  private final BiConsumer<String, InetSocketAddress> addresses;

  /**
   * What the fleet makes of this list; null where this router is of none, and the list holds as it
   * is told.
   */
  private MembershipView roll;

  /**
   * By the fleet only: the latest entry of each member, and what the decisions were told of it
   * last.
   */
  private final Map<String, EndpointEntry> latest = new LinkedHashMap<>();

  private final Map<String, MembershipView.MemberUse> used = new HashMap<>();
  private final Map<String, EndpointEntry> told = new HashMap<>();

  /**
   * The members as the decisions were told of them, but for those that are gone; unused by a
   * fleet's router.
   */
  private final Map<String, EndpointEntry> current = new LinkedHashMap<>();

  private long applied = -1;
  private RateLimitedLog heldOff;
  private ClockOffset clockOffset = new ClockOffset();
  private long generation;
  private StateRestore recollection = StateRestore.NONE;
  private Consumer<String> absent = node -> {};

  /** Hands each member's address on as it comes. */
  public EndpointList(
      StatementRouter<String> core,
      List<String> zones,
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
   * What an earlier process knew of the members, until a list that was asked for has come; those
   * that it had no answers from are told on.
   */
  public void recalls(StateRestore from, Consumer<String> absentOnes) {
    recollection = from;
    absent = absentOnes;
  }

  /**
   * Where no list is at hand yet: the members of an earlier process are connected to and polled
   * meanwhile. They are held to drain until a list names them, so that nothing is sent to one on
   * the word of a file.
   */
  public void expect(Moment now) {
    core.listBegins();
    for (KnownEndpoint known : recollection.members()) {
      InetSocketAddress address = Addresses.parse(known.address());
      if (address != null) {
        EndpointState view = known.view();
        addresses.accept(known.id(), address);
        EndpointEntry expected =
            new EndpointEntry(
                known.id(),
                address,
                null,
                view.group(),
                1,
                view.listedStart() / 1_000,
                EndpointLifecycle.DRAINING);
        if (roll == null) {
          current.put(known.id(), expected);
        } else {
          latest.put(known.id(), expected);
          used.put(
              known.id(), new MembershipView.MemberUse(EndpointLifecycle.DRAINING, view.group()));
        }
        core.listed(
            now,
            known.id(),
            EndpointLifecycle.DRAINING,
            view.group(),
            -1,
            1,
            view.listedStart() == 0 ? Moment.LONG_AGO : new Moment(view.listedStart()));
        if (view.silent() || view.isDown()) {
          absent.accept(known.id());
        }
      }
    }
    core.listEnds(now, false, false);
  }

  public static EndpointUpdate parse(String line) throws InvalidEndpointListException {
    return EndpointUpdate.of(EndpointUpdate.parseObject(line));
  }

  /** Throws before anything is taken in where the list does not belong to the one that is held. */
  public void take(Moment now, EndpointUpdate update, boolean asked)
      throws InvalidEndpointListException {
    if (update.generation() < generation && !update.full()) {
      // A service that lost its state counts anew: its changes don't belong to the list held here.
      throw new InvalidEndpointListException(
          "the list's generation went from " + generation + " back to " + update.generation());
    }
    generation = update.generation();
    if (roll != null) {
      heed(now, update, asked);
      return;
    }
    core.listBegins();
    boolean drainsBind = false;
    for (EndpointEntry entry : changedBy(update)) {
      boolean bindsStill =
          list(
              now,
              entry,
              new MembershipView.MemberUse(entry.listing(), entry.group()),
              generation,
              asked);
      drainsBind |= bindsStill;
      hold(
          bindsStill && entry.listing() == EndpointLifecycle.READY
              ? entry.withLifecycle(EndpointLifecycle.DRAINING)
              : entry);
    }
    ends(now, drainsBind, asked);
  }

  /**
   * What one entry of a list says that has not come whole yet: a member that drains or is gone gets
   * nothing from here on. All else waits for the rest of the list.
   */
  public void takeEarly(Moment now, List<EndpointEntry> entries) {
    boolean begun = false;
    for (EndpointEntry entry : entries) {
      EndpointEntry before = current.get(entry.id());
      if (roll != null
          || entry.listing() == EndpointLifecycle.READY
          || before == null
          || before.listing() != EndpointLifecycle.READY) {
        continue;
      }
      EndpointEntry drained = before.withLifecycle(entry.listing());
      begun = true;
      tell(now, drained, drained.listing(), drained.group());
      hold(drained);
    }
    if (begun) {
      core.listEnds(now, false, false);
    }
  }

  /** Entries that differ from what is held, those first to which nothing may go any more. */
  private List<EndpointEntry> changedBy(EndpointUpdate update) {
    Set<String> named = new HashSet<>();
    List<EndpointEntry> binding = new ArrayList<>();
    List<EndpointEntry> others = new ArrayList<>();
    for (EndpointEntry entry : update.entries()) {
      named.add(entry.id());
      EndpointEntry before = current.get(entry.id());
      if (!entry.equals(before) || !recollection.members().isEmpty()) {
        (entry.listing() == EndpointLifecycle.READY ? others : binding)
            .add(entry.withAddressFrom(before));
      }
    }
    if (update.full()) {
      for (EndpointEntry held : current.values()) {
        if (!named.contains(held.id())) {
          binding.add(held.withLifecycle(EndpointLifecycle.GONE));
        }
      }
    }
    binding.addAll(others);
    return binding;
  }

  private void hold(EndpointEntry entry) {
    if (entry.listing() == EndpointLifecycle.GONE) {
      current.remove(entry.id());
    } else {
      current.put(entry.id(), entry);
    }
  }

  private void ends(Moment now, boolean drainsBind, boolean asked) {
    core.recalled(now, recollection.groups());
    if (drainsBind) {
      // Only the whole list says whether that is over: changes after this version may not name the
      // node.
      forget();
    }
    if (asked) {
      recollection = StateRestore.NONE;
    }
    core.listEnds(now, false, asked);
  }

  private void tell(Moment now, EndpointEntry entry, EndpointLifecycle listing, int group) {
    core.listed(
        now,
        entry.id(),
        listing,
        group,
        entry.zone() == null ? -1 : zones.indexOf(entry.zone()),
        entry.weight(),
        entry.startedAtMillis() == 0
            ? Moment.LONG_AGO
            : clockOffset.started(new Moment(entry.startedAtMillis() * 1_000)));
  }

  /** Starts are told in the servers' time, which may not be that of this process. */
  public void startsBy(ClockOffset offset) {
    clockOffset = offset;
  }

  /** What is known of the clock has changed: members' starts are told to the decisions again. */
  public void tellStarts(Moment now) {
    core.listBegins();
    for (EndpointEntry entry : current.values()) {
      if (entry.startedAtMillis() != 0) {
        tell(now, entry, entry.listing(), entry.group());
      }
    }
    core.listEnds(now, false, false);
  }

  /** True where what an earlier process knew of the member keeps it from being used. */
  private boolean list(
      Moment now, EndpointEntry entry, MembershipView.MemberUse use, long version, boolean asked) {
    if (entry.address() != null) {
      addresses.accept(entry.id(), entry.address());
    }
    tell(now, entry, use.listing(), use.group());
    EndpointState known =
        entry.address() == null
            ? null
            : recollection.of(
                entry.id(),
                Addresses.text(entry.address()),
                entry.startedAtMillis() * 1_000,
                version,
                asked);
    if (known == null) {
      return false;
    }
    core.recalled(now, entry.id(), known);
    if (known.silent() || known.isDown()) {
      absent.accept(entry.id());
    }
    return known.drains();
  }

  // ---- Lists on which a fleet agrees.

  /** From here on each list is taken as far as the fleet bears it out. */
  public void agreeBy(MembershipView fleet, Supplier<Moment> clock) {
    roll = fleet;
    heldOff = new RateLimitedLog(LOG, Event.LIST_HELD, clock);
  }

  private void heed(Moment now, EndpointUpdate update, boolean asked) {
    Map<String, ListedEndpoint> said = new LinkedHashMap<>();
    for (EndpointEntry entry : update.entries()) {
      said.put(entry.id(), new ListedEndpoint(entry.listing(), entry.group()));
      // One that is gone may be named without its address: it stays as it was told.
      if (entry.address() != null || !latest.containsKey(entry.id())) {
        latest.put(entry.id(), entry);
      }
    }
    ListAnomaly doubt = roll.told(now, update.full(), update.generation(), said);
    if (doubt != ListAnomaly.NONE) {
      heldOff.note(update.generation(), doubt.name());
    }
    apply(now, update.generation(), asked);
  }

  /**
   * Tells the decisions what has changed in what the fleet bears out; all of it is told at the
   * first call.
   */
  public void apply(Moment now) {
    if (roll.revision(now) == applied) {
      return;
    }
    apply(now, generation, false);
  }

  // A member that was read anew is passed on, also where it says the same.
  @SuppressWarnings("ReferenceEquality")
  private void apply(Moment now, long version, boolean asked) {
    applied = roll.revision(now);
    Set<String> members = roll.members();
    members.addAll(used.keySet());
    boolean begun = asked;
    boolean drainsBind = false;
    if (asked) {
      core.listBegins();
    }
    for (String id : members) {
      MembershipView.MemberUse use = roll.use(now, id);
      EndpointEntry entry = latest.get(id);
      boolean isNew = entry != told.put(id, entry);
      MembershipView.MemberUse before = used.get(id);
      if (entry == null
          || (use.equals(before) && !isNew)
          || (before == null && use.listing() == EndpointLifecycle.GONE)) {
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
      ends(now, drainsBind, asked);
    }
    used.values().removeIf(use -> use.listing() == EndpointLifecycle.GONE);
    told.keySet().retainAll(used.keySet());
    latest.keySet().retainAll(members);
  }
}
