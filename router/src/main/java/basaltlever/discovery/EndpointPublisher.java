package basaltlever.discovery;

import basaltlever.config.Addresses;
import basaltlever.core.StatementRouter;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.snapshot.EndpointState;
import basaltlever.snapshot.StateRestore;
import basaltlever.snapshot.StoredEndpoint;
import basaltlever.time.ClockOffset;
import basaltlever.time.Moment;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Publishes listed endpoints to the statement router, together with the state that an earlier
 * process stored for them.
 */
final class EndpointPublisher {
  private static final int UNKNOWN_ZONE = -1;
  private static final double DEFAULT_WEIGHT = 1;
  private static final long MICROS_PER_MILLI = 1_000;

  private final StatementRouter<String> core;
  private final List<String> zones;
  private final BiConsumer<String, InetSocketAddress> onAddress;
  private final Runnable onFullListNeeded;
  private ClockOffset clockOffset = new ClockOffset();
  private StateRestore restore = StateRestore.EMPTY;
  private Consumer<String> onUnresponsive = id -> {};

  /**
   * Creates a publisher.
   *
   * @param onAddress callback that receives the address of each endpoint before the endpoint is
   *     published
   * @param onFullListNeeded callback that makes the next request to the service ask for the full
   *     list
   */
  EndpointPublisher(
      StatementRouter<String> core,
      List<String> zones,
      BiConsumer<String, InetSocketAddress> onAddress,
      Runnable onFullListNeeded) {
    this.core = core;
    this.zones = zones;
    this.onAddress = onAddress;
    this.onFullListNeeded = onFullListNeeded;
  }

  void setClockOffset(ClockOffset offset) {
    clockOffset = offset;
  }

  void restoreFrom(StateRestore stored, Consumer<String> onUnresponsiveEndpoint) {
    restore = stored;
    onUnresponsive = onUnresponsiveEndpoint;
  }

  /** Returns the endpoints of an earlier process that have not been listed since. */
  List<StoredEndpoint> restoredEndpoints() {
    return restore.pendingEndpoints();
  }

  /** Begins a batch, which {@link #endList} or {@link #endChanges} ends. */
  void beginBatch() {
    core.onListStarted();
  }

  /** Ends a batch that was caused by a list. */
  void endList(Moment now, boolean drainsUntilFullList, boolean live) {
    if (drainsUntilFullList) {
      // Updates after this generation may not contain the endpoint again.
      onFullListNeeded.run();
    }
    if (live) {
      restore = StateRestore.EMPTY;
    }
    core.onListFinished(now, false, live);
  }

  /** Ends a batch that was not caused by a complete list. */
  void endChanges(Moment now) {
    core.onListFinished(now, false, false);
  }

  /**
   * Publishes an endpoint and restores its stored state.
   *
   * @param live whether the list comes from the service, not from storage
   * @return whether the endpoint has to drain due to its stored state
   */
  boolean publishListed(
      Moment now,
      EndpointEntry entry,
      EndpointLifecycle lifecycle,
      int group,
      long generation,
      boolean live) {
    if (entry.address() != null) {
      onAddress.accept(entry.id(), entry.address());
    }
    publish(now, entry, lifecycle, group);
    EndpointState stored =
        entry.address() == null ? null : takeStoredState(entry, generation, live);
    if (stored == null) {
      return false;
    }
    core.restore(now, entry.id(), stored);
    reportUnresponsive(entry.id(), stored);
    return stored.draining();
  }

  private EndpointState takeStoredState(EndpointEntry entry, long generation, boolean live) {
    return restore.takeEndpoint(
        entry.id(),
        Addresses.text(entry.address()),
        entry.startedAtMillis() * MICROS_PER_MILLI,
        generation,
        live);
  }

  /** Publishes an endpoint whose address is known. */
  void publish(Moment now, EndpointEntry entry, EndpointLifecycle lifecycle, int group) {
    core.onEndpointListed(
        now,
        entry.id(),
        lifecycle,
        group,
        entry.zone() == null ? UNKNOWN_ZONE : zones.indexOf(entry.zone()),
        entry.weight(),
        startedAt(entry));
  }

  private Moment startedAt(EndpointEntry entry) {
    return entry.startedAtMillis() == 0
        ? Moment.LONG_AGO
        : clockOffset.correctStart(new Moment(entry.startedAtMillis() * MICROS_PER_MILLI));
  }

  /** Publishes an endpoint of an earlier process as draining before any list contains it. */
  void publishRestored(Moment now, StoredEndpoint endpoint, InetSocketAddress address) {
    EndpointState stored = endpoint.state();
    onAddress.accept(endpoint.id(), address);
    core.onEndpointListed(
        now,
        endpoint.id(),
        EndpointLifecycle.DRAINING,
        stored.group(),
        UNKNOWN_ZONE,
        DEFAULT_WEIGHT,
        stored.listedStartMicros() == 0 ? Moment.LONG_AGO : new Moment(stored.listedStartMicros()));
    reportUnresponsive(endpoint.id(), stored);
  }

  /** Returns the entry of an endpoint of an earlier process. */
  static EndpointEntry restoredEntry(StoredEndpoint endpoint, InetSocketAddress address) {
    EndpointState stored = endpoint.state();
    return new EndpointEntry(
        endpoint.id(),
        address,
        null,
        stored.group(),
        DEFAULT_WEIGHT,
        stored.listedStartMicros() / MICROS_PER_MILLI,
        EndpointLifecycle.DRAINING);
  }

  private void reportUnresponsive(String id, EndpointState stored) {
    if (stored.unresponsive() || stored.isDown()) {
      onUnresponsive.accept(id);
    }
  }
}
