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

/** The endpoints by their ids, and the groups by their numbers. */
final class EndpointTable {
  private static final Span INITIAL_REPORT_AGE = Span.ofMillis(500);

  /** Attempts that all routers together start out with at an endpoint. */
  private static final double INITIAL_CAPACITY_ATTEMPTS = 12;

  private final DecisionContext context;
  private final HoldBudget holdBudget;
  private final List<Endpoint> endpoints = new ArrayList<>();
  private final Map<Integer, ReplicaGroup> groups = new HashMap<>();

  EndpointTable(DecisionContext context, HoldBudget holdBudget) {
    this.context = context;
    this.holdBudget = holdBudget;
  }

  /** By their ids, which are small; null where none has that id. To be read only. */
  List<Endpoint> endpoints() {
    return endpoints;
  }

  /** The endpoint with that id; null where there is none. */
  Endpoint endpoint(int id) {
    return id >= 0 && id < endpoints.size() ? endpoints.get(id) : null;
  }

  /** A new endpoint, with a capacity such that all routers together start out moderately. */
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

  /** The group with that number; null where nobody has named it. */
  ReplicaGroup knownGroup(int number) {
    return groups.get(number);
  }

  /** The group with that number, which is created when it is first named. */
  ReplicaGroup group(int number) {
    return groups.computeIfAbsent(number, this::newGroup);
  }

  /** Forgets a group without members: statements may name groups that nobody lists. */
  void removeIfUnused(ReplicaGroup group) {
    if (group.endpoints().isEmpty() && groups.remove(group.number(), group)) {
      holdBudget.forget(group.heldStatements());
    }
  }

  private ReplicaGroup newGroup(int number) {
    return new ReplicaGroup(
        number,
        context.now(),
        INITIAL_REPORT_AGE,
        StatementOrder.BY_PRIORITY,
        holdBudget.group(context.settings().workloads().length),
        context.sink());
  }
}
