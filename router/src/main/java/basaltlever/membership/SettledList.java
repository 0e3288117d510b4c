package basaltlever.membership;

import basaltlever.gateway.EndpointLifecycle;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayDeque;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The newest list of one router that is settled, and the lists that the router took since. A list
 * is settled once most routers hold or held it, or once nobody has contradicted it for long enough.
 * Until then every list since the settled one restricts the use of its endpoints.
 */
final class SettledList {
  private static final int MAX_UNSETTLED = 32;

  private SortedMap<String, ListedEndpoint> entries = new TreeMap<>();
  private ListVersion version = ListVersion.NONE;

  /** Oldest first. */
  private final ArrayDeque<EndpointListCopy> unsettled = new ArrayDeque<>();

  /** Adds the list that the router has just taken. */
  void add(EndpointListCopy accepted) {
    unsettled.add(accepted);
    if (unsettled.size() > MAX_UNSETTLED) {
      mergeOldest(unsettled.removeFirst());
    }
  }

  /** Keeps only the restrictions: endpoints that the list alone names stay unsettled. */
  private void mergeOldest(EndpointListCopy oldest) {
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
   * Settles the newest list that may be settled, and with it all before it.
   *
   * @param latest the latest list of the router. Only this one is settled for being uncontested: of
   *     one that was replaced, those who would contradict it may not have reported.
   * @param uncontestedDuration for how long nobody must have contradicted the latest list
   * @return how many lists are no longer unsettled
   */
  int settle(Moment now, EndpointListCopy latest, Span uncontestedDuration) {
    EndpointListCopy newest = null;
    for (EndpointListCopy copy : unsettled) {
      boolean isUncontested =
          copy == latest && copy.isUncontestedLongerThan(uncontestedDuration, now);
      if (copy.isAgreed() || isUncontested) {
        newest = copy;
      }
    }
    return newest == null ? 0 : settleUpTo(newest);
  }

  private int settleUpTo(EndpointListCopy newest) {
    int removed = 0;
    EndpointListCopy copy;
    do {
      copy = unsettled.removeFirst();
      removed++;
    } while (copy != newest);
    entries = newest.entries();
    version = newest.version();
    return removed;
  }

  /** Whether the router has taken no list since the settled one. */
  boolean isCurrent() {
    return unsettled.isEmpty();
  }

  /** Version of the settled list. */
  ListVersion version() {
    return version;
  }

  void addEndpointsTo(Set<String> endpoints) {
    endpoints.addAll(entries.keySet());
    unsettled.forEach(copy -> endpoints.addAll(copy.entries().keySet()));
  }

  /**
   * The strictest of the given lifecycle, the settled list and all since. An endpoint missing in
   * one of them is draining, since most routers may not know it.
   */
  EndpointLifecycle restrict(String endpoint, EndpointLifecycle lifecycle) {
    if (unsettled.isEmpty()) {
      return lifecycle;
    }
    EndpointLifecycle strictest = stricter(lifecycle, lifecycleIn(entries, endpoint));
    for (EndpointListCopy copy : unsettled) {
      strictest = stricter(strictest, lifecycleIn(copy.entries(), endpoint));
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
