package basaltlever.discovery;

import basaltlever.config.Addresses;
import basaltlever.core.StatementRouter;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.membership.MembershipView;
import basaltlever.snapshot.StateRestore;
import basaltlever.snapshot.StoredEndpoint;
import basaltlever.time.ClockOffset;
import basaltlever.time.Moment;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The endpoint list of this router. It applies full lists and updates, from the discovery service
 * or stored by an earlier process, and publishes the changes to the statement router.
 */
public final class EndpointList {
  /** Requests the full list when it is sent to the service. */
  private static final long NO_GENERATION = 0;

  private final EndpointPublisher publisher;

  /** Null if this router belongs to no fleet; lists are applied as received in that case. */
  private AgreedEndpoints agreedEndpoints;

  /** The published endpoints without the removed ones; unused with a fleet. */
  private final Map<String, EndpointEntry> currentEntries = new LinkedHashMap<>();

  private long generation = NO_GENERATION;

  /**
   * Creates an empty list.
   *
   * @param core the statement router that the endpoints are published to
   * @param zones the names of the zones, by index
   * @param onAddress callback that receives the address of each endpoint
   */
  public EndpointList(
      StatementRouter<String> core,
      List<String> zones,
      BiConsumer<String, InetSocketAddress> onAddress) {
    publisher = new EndpointPublisher(core, zones, onAddress, this::requestFullList);
  }

  /** Returns the generation after which to request updates; 0 requests the full list. */
  public long generation() {
    return generation;
  }

  /** Makes the next request to the service ask for the full list. */
  public void requestFullList() {
    generation = NO_GENERATION;
  }

  /**
   * Sets the stored state of an earlier process, which is used until a list from the service
   * arrives.
   *
   * @param onUnresponsive callback that receives each endpoint that did not respond to the earlier
   *     process
   */
  public void restoreFrom(StateRestore stored, Consumer<String> onUnresponsive) {
    publisher.restoreFrom(stored, onUnresponsive);
  }

  /**
   * Publishes the endpoints of an earlier process before the first list, so that they can already
   * be connected to and polled. They are draining until a list contains them: no statement is sent
   * to an endpoint that is known only from a file.
   */
  public void publishRestored(Moment now) {
    publisher.beginBatch();
    for (StoredEndpoint endpoint : publisher.restoredEndpoints()) {
      InetSocketAddress address = Addresses.parse(endpoint.address());
      if (address != null) {
        EndpointEntry entry = EndpointPublisher.restoredEntry(endpoint, address);
        if (agreedEndpoints == null) {
          currentEntries.put(entry.id(), entry);
        } else {
          agreedEndpoints.addRestored(entry);
        }
        publisher.publishRestored(now, endpoint, address);
      }
    }
    publisher.endChanges(now);
  }

  /** Parses a message of the service. */
  public static EndpointUpdate parse(String message) throws InvalidEndpointListException {
    return EndpointUpdate.parse(EndpointUpdate.parseObject(message));
  }

  /**
   * Applies an update.
   *
   * @param live whether the update comes from the service, not from storage
   * @throws InvalidEndpointListException before any change, if the update does not continue the
   *     current list
   */
  public void applyUpdate(Moment now, EndpointUpdate update, boolean live)
      throws InvalidEndpointListException {
    if (update.generation() < generation && !update.full()) {
      // A service that lost its state restarts its generations, so its updates apply to another
      // list.
      throw new InvalidEndpointListException(
          "the list's generation decreased from " + generation + " to " + update.generation());
    }
    generation = update.generation();
    if (agreedEndpoints == null) {
      publish(now, update, live);
    } else {
      agreedEndpoints.applyUpdate(now, update, live);
    }
  }

  private void publish(Moment now, EndpointUpdate update, boolean live) {
    publisher.beginBatch();
    boolean drainsUntilFullList = false;
    for (EndpointEntry entry : findChanges(update)) {
      boolean mustDrain =
          publisher.publishListed(now, entry, entry.lifecycle(), entry.group(), generation, live);
      drainsUntilFullList |= mustDrain;
      recordCurrent(
          mustDrain && entry.lifecycle() == EndpointLifecycle.READY
              ? entry.withLifecycle(EndpointLifecycle.DRAINING)
              : entry);
    }
    publisher.endList(now, drainsUntilFullList, live);
  }

  /**
   * Applies entries of a list that is not complete yet: endpoints that are draining or gone get no
   * more statements. All other changes are applied with the complete list.
   */
  public void applyIncompleteList(Moment now, List<EndpointEntry> entries) {
    if (agreedEndpoints != null) {
      return;
    }
    boolean changed = false;
    for (EndpointEntry entry : entries) {
      EndpointEntry previous = currentEntries.get(entry.id());
      if (entry.lifecycle() != EndpointLifecycle.READY
          && previous != null
          && previous.lifecycle() == EndpointLifecycle.READY) {
        EndpointEntry drained = previous.withLifecycle(entry.lifecycle());
        publisher.publish(now, drained, drained.lifecycle(), drained.group());
        recordCurrent(drained);
        changed = true;
      }
    }
    if (changed) {
      publisher.endChanges(now);
    }
  }

  /**
   * Returns the entries that differ from the current ones, starting with the endpoints that get no
   * more load.
   */
  private List<EndpointEntry> findChanges(EndpointUpdate update) {
    List<EndpointEntry> changes = new ArrayList<>();
    List<EndpointEntry> ready = new ArrayList<>();
    boolean hasRestored = !publisher.restoredEndpoints().isEmpty();
    for (EndpointEntry entry : update.entries()) {
      EndpointEntry previous = currentEntries.get(entry.id());
      if (hasRestored || !entry.equals(previous)) {
        (entry.lifecycle() == EndpointLifecycle.READY ? ready : changes)
            .add(entry.withAddressFrom(previous));
      }
    }
    if (update.full()) {
      addUnlisted(update, changes);
    }
    changes.addAll(ready);
    return changes;
  }

  /** Adds each current endpoint that is missing in a full list with the lifecycle GONE. */
  private void addUnlisted(EndpointUpdate update, List<EndpointEntry> changes) {
    Set<String> listed = new HashSet<>();
    for (EndpointEntry entry : update.entries()) {
      listed.add(entry.id());
    }
    for (EndpointEntry entry : currentEntries.values()) {
      if (!listed.contains(entry.id())) {
        changes.add(entry.withLifecycle(EndpointLifecycle.GONE));
      }
    }
  }

  private void recordCurrent(EndpointEntry entry) {
    if (entry.lifecycle() == EndpointLifecycle.GONE) {
      currentEntries.remove(entry.id());
    } else {
      currentEntries.put(entry.id(), entry);
    }
  }

  /** Sets the offset between the clock of the listed start times and the router's clock. */
  public void setClockOffset(ClockOffset offset) {
    publisher.setClockOffset(offset);
  }

  /** Republishes the start times after a change of the clock offset. */
  public void publishStartTimes(Moment now) {
    publisher.beginBatch();
    for (EndpointEntry entry : currentEntries.values()) {
      if (entry.startedAtMillis() != 0) {
        publisher.publish(now, entry, entry.lifecycle(), entry.group());
      }
    }
    publisher.endChanges(now);
  }

  /** Applies all further lists through the fleet's membership view. */
  public void setMembershipView(MembershipView view, Supplier<Moment> clock) {
    agreedEndpoints = new AgreedEndpoints(view, publisher, clock);
  }

  /** Publishes the changes of the membership view; the first call publishes the complete view. */
  public void publishMembershipChanges(Moment now) {
    agreedEndpoints.publishChanges(now, generation);
  }
}
