package basaltlever.membership;

import basaltlever.gateway.EndpointLifecycle;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayDeque;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Newest settled list of one router, and the lists that the router has accepted since. A list is
 * settled once most routers hold it or have held it, or once no router has contradicted it for a
 * given time. Until then every list since the settled one restricts the use of its endpoints.
 */
final class SettledList {
  private static final int MAX_UNSETTLED = 32;

  private SortedMap<String, ListedEndpoint> entries = new TreeMap<>();
  private ListVersion version = ListVersion.NONE;

  /** Lists accepted since the settled one, oldest first. */
  private final ArrayDeque<ReceivedEndpointList> unsettled = new ArrayDeque<>();

  /** Adds a list that the router has accepted. */
  void add(ReceivedEndpointList accepted) {
    unsettled.add(accepted);
    if (unsettled.size() > MAX_UNSETTLED) {
      mergeOldest(unsettled.removeFirst());
    }
  }

  /** Merges only the restrictions of the list: endpoints that it adds remain unsettled. */
  private void mergeOldest(ReceivedEndpointList oldest) {
    SortedMap<String, ListedEndpoint> strictest = new TreeMap<>(entries);
    oldest
        .entries()
        .forEach(
            (endpoint, entry) ->
                strictest.computeIfPresent(
                    endpoint,
                    (name, current) ->
                        entry.lifecycle().compareTo(current.lifecycle()) > 0 ? entry : current));
    entries = strictest;
  }

  /**
   * Settles the newest list that may be settled and thereby all earlier ones.
   *
   * @param latest the latest list of the router. Only this list can be settled for being
   *     uncontested: routers that would contradict a replaced list may not have reported it.
   * @param uncontestedDuration time for which the latest list must have been uncontested
   * @return the number of lists that are no longer unsettled
   */
  int settle(Moment now, ReceivedEndpointList latest, Span uncontestedDuration) {
    ReceivedEndpointList newest = null;
    for (ReceivedEndpointList list : unsettled) {
      boolean isUncontested =
          list == latest && list.isUncontestedLongerThan(uncontestedDuration, now);
      if (list.isAgreed() || isUncontested) {
        newest = list;
      }
    }
    return newest == null ? 0 : settleUpTo(newest);
  }

  private int settleUpTo(ReceivedEndpointList newest) {
    int removed = 0;
    ReceivedEndpointList list;
    do {
      list = unsettled.removeFirst();
      removed++;
    } while (list != newest);
    entries = newest.entries();
    version = newest.version();
    return removed;
  }

  /** Whether the router has accepted no list since the settled one. */
  boolean isCurrent() {
    return unsettled.isEmpty();
  }

  /** Returns the version of the settled list. */
  ListVersion version() {
    return version;
  }

  void addEndpointsTo(Set<String> endpoints) {
    endpoints.addAll(entries.keySet());
    unsettled.forEach(list -> endpoints.addAll(list.entries().keySet()));
  }

  /**
   * Returns the strictest of the given lifecycle and those in the settled list and all later ones.
   * An endpoint that one of them lacks counts as draining, since most routers may lack it too.
   */
  EndpointLifecycle restrict(String endpoint, EndpointLifecycle lifecycle) {
    if (unsettled.isEmpty()) {
      return lifecycle;
    }
    EndpointLifecycle strictest = stricter(lifecycle, lifecycleIn(entries, endpoint));
    for (ReceivedEndpointList list : unsettled) {
      strictest = stricter(strictest, lifecycleIn(list.entries(), endpoint));
    }
    return strictest;
  }

  private static EndpointLifecycle lifecycleIn(
      SortedMap<String, ListedEndpoint> list, String endpoint) {
    ListedEndpoint entry = list.get(endpoint);
    return entry == null ? EndpointLifecycle.DRAINING : entry.lifecycle();
  }

  static EndpointLifecycle stricter(EndpointLifecycle one, EndpointLifecycle other) {
    return one.compareTo(other) >= 0 ? one : other;
  }
}
