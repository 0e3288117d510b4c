package basaltlever.balancer;

import basaltlever.hold.HoldBudget;
import basaltlever.model.Endpoint;
import basaltlever.model.ReplicaGroup;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Stores the endpoints by id and the groups by number. */
final class EndpointTable {
  private static final Span INITIAL_REPORT_AGE = Span.ofMillis(500);

  /** Initial capacity of an endpoint in attempts, divided among all routers. */
  private static final double INITIAL_CAPACITY_ATTEMPTS = 12;

  private final DecisionContext context;
  private final HoldBudget holdBudget;
  private final List<Endpoint> endpoints = new ArrayList<>();
  private final Map<Integer, ReplicaGroup> groups = new HashMap<>();

  EndpointTable(DecisionContext context, HoldBudget holdBudget) {
    this.context = context;
    this.holdBudget = holdBudget;
  }

  /**
   * The endpoints, indexed by id, which are small; null for unused ids. The list must not be
   * modified.
   */
  List<Endpoint> endpoints() {
    return endpoints;
  }

  /** The endpoint with that id; null if there is none. */
  Endpoint endpoint(int id) {
    return id >= 0 && id < endpoints.size() ? endpoints.get(id) : null;
  }

  /**
   * Creates an endpoint with this router's share of the initial capacity, so that all routers
   * together start with moderate load.
   */
  Endpoint create(int id) {
    double capacity =
        Math.max(1, INITIAL_CAPACITY_ATTEMPTS / context.settings().identity().routerCount());
    Endpoint endpoint = new Endpoint(id, capacity);
    while (endpoints.size() <= id) {
      endpoints.add(null);
    }
    endpoints.set(id, endpoint);
    return endpoint;
  }

  void remove(Endpoint endpoint) {
    endpoints.set(endpoint.id(), null);
  }

  Collection<ReplicaGroup> groups() {
    return groups.values();
  }

  /** The group with that number; null if neither the list nor a statement has referred to it. */
  ReplicaGroup findGroup(int number) {
    return groups.get(number);
  }

  /** The group with that number, created on first use. */
  ReplicaGroup getOrCreateGroup(int number) {
    return groups.computeIfAbsent(number, this::newGroup);
  }

  /** Removes a group without endpoints: statements may refer to groups that are not in the list. */
  void removeIfUnused(ReplicaGroup group) {
    if (group.endpoints().isEmpty() && groups.remove(group.number(), group)) {
      holdBudget.remove(group.heldStatements());
    }
  }

  private ReplicaGroup newGroup(int number) {
    return new ReplicaGroup(
        number,
        context.now(),
        INITIAL_REPORT_AGE,
        StatementOrder.BY_PRIORITY,
        holdBudget.createQueue(context.settings().workloads().length),
        context.sink());
  }
}
