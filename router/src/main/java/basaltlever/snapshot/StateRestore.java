package basaltlever.snapshot;

import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Restores a stored state in a restarted router. The state is aged once; the state of each endpoint
 * is returned when the endpoint list contains the endpoint. It applies only to the same start of
 * the same id at the same address. The class does no I/O.
 */
public final class StateRestore {
  /** The restore of a router without a stored state. */
  public static final StateRestore EMPTY = rejected("there is no stored state");

  /**
   * Maximum difference between the ages by the system clock and by the monotonic clock. With a
   * larger one the state is rejected.
   */
  private static final Span CLOCK_TOLERANCE = Span.ofMillis(2_000);

  /** Additional tolerance as a fraction of the elapsed time. */
  private static final double CLOCK_TOLERANCE_RATIO = 0.001;

  private final String rejection;
  private final Span age;
  private final long listVersion;
  private final Map<String, StoredEndpoint> pending = new LinkedHashMap<>();

  private StateRestore(
      String rejection, Span age, long listVersion, List<StoredEndpoint> endpoints) {
    this.rejection = rejection;
    this.age = age;
    this.listVersion = listVersion;
    endpoints.forEach(endpoint -> pending.put(endpoint.id(), endpoint));
  }

  /**
   * Checks whether a stored state is usable and ages it to the current time.
   *
   * @param deployment the deployment of the restarted router
   * @param router the name of the restarted router
   * @param unixMicros system clock in microseconds of Unix time
   * @param monotonicMicros the machine's monotonic clock in microseconds
   * @param bootId identifier of the machine's current boot; empty if unknown
   */
  public static StateRestore evaluate(
      LearnedState stored,
      String deployment,
      String router,
      long unixMicros,
      long monotonicMicros,
      String bootId) {
    if (!stored.deployment().equals(deployment) || !stored.router().equals(router)) {
      return rejected(
          "the state belongs to deployment '"
              + stored.deployment()
              + "', router '"
              + stored.router()
              + "'");
    }
    Span systemAge = new Span(unixMicros - stored.writtenAtMicros());
    if (systemAge.micros() < 0) {
      return rejected("the state was written in the future by this machine's clock");
    }
    if (bootId.isEmpty() || !bootId.equals(stored.bootId())) {
      return aged(stored, systemAge);
    }
    Span monotonicAge = new Span(monotonicMicros - stored.monotonicMicros());
    return clocksAgree(systemAge, monotonicAge)
        ? aged(stored, monotonicAge)
        : rejected("the system clock was adjusted after the state was written");
  }

  private static boolean clocksAgree(Span systemAge, Span monotonicAge) {
    Span difference = new Span(Math.abs(monotonicAge.minus(systemAge).micros()));
    Span tolerance = CLOCK_TOLERANCE.plus(monotonicAge.times(CLOCK_TOLERANCE_RATIO));
    return monotonicAge.micros() >= 0 && !difference.isLongerThan(tolerance);
  }

  private static StateRestore aged(LearnedState stored, Span age) {
    List<StoredEndpoint> endpoints = new ArrayList<>(stored.endpoints().size());
    for (StoredEndpoint endpoint : stored.endpoints()) {
      endpoints.add(
          new StoredEndpoint(
              endpoint.id(), endpoint.address(), StateDecay.decay(endpoint.state(), age)));
    }
    return new StateRestore("", age, stored.listVersion(), endpoints);
  }

  private static StateRestore rejected(String reason) {
    return new StateRestore(reason, Span.NONE, 0, List.of());
  }

  /** Returns why the stored state was rejected; empty if it is usable. */
  public String rejection() {
    return rejection;
  }

  /** Returns the age of the stored state. */
  public Span age() {
    return age;
  }

  /** Returns the number of endpoints that have not been listed yet. */
  public int pendingEndpointCount() {
    return pending.size();
  }

  /**
   * Returns the endpoints that have not been listed yet, in stored order, which is the order of
   * their first polls.
   */
  public List<StoredEndpoint> pendingEndpoints() {
    return List.copyOf(pending.values());
  }

  /**
   * Removes and returns the state of a listed endpoint; null if there is none. A list that the
   * router did not request itself may be older than the stored state; the stored start and draining
   * take precedence then.
   *
   * @param currentListVersion the version of the list
   * @param requestedList whether the router requested the list itself
   */
  public EndpointState takeEndpoint(
      String id,
      String address,
      long listedStartMicros,
      long currentListVersion,
      boolean requestedList) {
    StoredEndpoint endpoint = pending.get(id);
    boolean olderList = !requestedList && currentListVersion < listVersion;
    if (endpoint == null
        || !endpoint.address().equals(address)
        || !isSameStart(endpoint.state().listedStartMicros(), listedStartMicros, olderList)) {
      return null;
    }
    pending.remove(id);
    EndpointState state = endpoint.state();
    return state.draining() && !olderList ? state.toBuilder().draining(false).build() : state;
  }

  private static boolean isSameStart(long stored, long listed, boolean olderList) {
    return stored == listed || (olderList && stored > listed);
  }
}
