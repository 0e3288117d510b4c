package basaltlever.snapshot;

import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A stored state offered to a restarted router: aged once, then handed out endpoint by endpoint as
 * the endpoint list names them. What was learned counts only for the same start of the same id at
 * the same address. Free of I/O.
 */
public final class StateRestore {
  /** For a router without a stored state. */
  public static final StateRestore EMPTY = rejected("there is none");

  /** How far the system clock may differ from the monotonic one before neither is trusted. */
  private static final Span CLOCK_TOLERANCE = Span.ofMillis(2_000);

  /** The same as a share of the time that has passed. */
  private static final double CLOCK_TOLERANCE_RATIO = 0.001;

  private final String rejection;
  private final Span age;
  private final long listVersion;
  private final Map<String, KnownEndpoint> pending = new LinkedHashMap<>();
  private List<GroupState> pendingGroups;

  private StateRestore(
      String rejection,
      Span age,
      long listVersion,
      List<KnownEndpoint> endpoints,
      List<GroupState> groups) {
    this.rejection = rejection;
    this.age = age;
    this.listVersion = listVersion;
    this.pendingGroups = groups;
    endpoints.forEach(known -> pending.put(known.id(), known));
  }

  /**
   * Judges a stored state and ages it to now.
   *
   * @param deployment the deployment of the restarted router
   * @param router its name
   * @param unixMicros microseconds of Unix time by the system clock
   * @param monotonicMicros microseconds of the machine's monotonic clock
   * @param bootId the current boot of the machine; empty where unknown
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
          "it is of deployment '" + stored.deployment() + "', router '" + stored.router() + "'");
    }
    Span systemAge = new Span(unixMicros - stored.writtenAtMicros());
    if (systemAge.micros() < 0) {
      return rejected("it was written in the future, by this machine's clock");
    }
    if (bootId.isEmpty() || !bootId.equals(stored.bootId())) {
      return aged(stored, systemAge);
    }
    Span monotonicAge = new Span(monotonicMicros - stored.monotonicMicros());
    return clocksAgree(systemAge, monotonicAge)
        ? aged(stored, monotonicAge)
        : rejected("the clock was set since it was written");
  }

  private static boolean clocksAgree(Span systemAge, Span monotonicAge) {
    Span difference = new Span(Math.abs(monotonicAge.minus(systemAge).micros()));
    Span tolerance = CLOCK_TOLERANCE.plus(monotonicAge.times(CLOCK_TOLERANCE_RATIO));
    return monotonicAge.micros() >= 0 && !difference.isLongerThan(tolerance);
  }

  private static StateRestore aged(LearnedState stored, Span age) {
    List<KnownEndpoint> endpoints = new ArrayList<>(stored.endpoints().size());
    for (KnownEndpoint known : stored.endpoints()) {
      endpoints.add(
          new KnownEndpoint(known.id(), known.address(), StateDecay.decay(known.state(), age)));
    }
    List<GroupState> groups =
        stored.groups().stream().map(group -> StateDecay.decay(group, age)).toList();
    return new StateRestore("", age, stored.listVersion(), endpoints, groups);
  }

  private static StateRestore rejected(String reason) {
    return new StateRestore(reason, Span.NONE, 0, List.of(), List.of());
  }

  /** Why the stored state counts for nothing; empty where it counts. */
  public String rejection() {
    return rejection;
  }

  /** How old the stored state is. */
  public Span age() {
    return age;
  }

  /** The number of endpoints that have not been listed yet. */
  public int pendingEndpointCount() {
    return pending.size();
  }

  /** The endpoints that have not been listed yet, in stored order: whom to poll first. */
  public List<KnownEndpoint> pendingEndpoints() {
    return List.copyOf(pending.values());
  }

  /**
   * Hands out, once, what is known of an endpoint as it is listed; null where nothing is. A list
   * that the router did not request itself may be older than the stored state: then the stored
   * start and draining are the later word.
   *
   * @param version the version of the list
   * @param live whether the router requested the list itself
   */
  public EndpointState takeEndpoint(
      String id, String address, long listedStart, long version, boolean live) {
    KnownEndpoint known = pending.get(id);
    boolean olderList = !live && version < listVersion;
    if (known == null
        || !known.address().equals(address)
        || !isSameStart(known.state().listedStartMicros(), listedStart, olderList)) {
      return null;
    }
    pending.remove(id);
    EndpointState state = known.state();
    return state.draining() && !olderList ? state.toBuilder().draining(false).build() : state;
  }

  private static boolean isSameStart(long stored, long listed, boolean olderList) {
    return stored == listed || (olderList && stored > listed);
  }

  /** Hands out, once, what is known of the replica groups. */
  public List<GroupState> takeGroups() {
    List<GroupState> groups = pendingGroups;
    pendingGroups = List.of();
    return groups;
  }
}
