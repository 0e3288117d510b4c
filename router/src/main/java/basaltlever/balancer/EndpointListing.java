package basaltlever.balancer;

import basaltlever.gateway.EndpointLifecycle;
import basaltlever.model.Endpoint;
import basaltlever.model.ReplicaGroup;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Takes in the endpoint list: new endpoints, draining ones, and those that are gone. */
final class EndpointListing {
  private static final double MAX_RELATIVE_SIZE = 1e9;

  /** Something may still be in flight to an endpoint that was polled this recently. */
  private static final Span MIN_TIME_SINCE_POLL = Timing.LONG_DECAY;

  private final DecisionContext context;
  private final EndpointTable table;
  private final SlowStart slowStart;
  private final PollScheduler polls;
  private final GroupPolling groupPolling;
  private final PrimaryTracker primaries;
  private final EvaluationQueue evaluations;
  private final Set<Endpoint> gone = new LinkedHashSet<>();
  private int listGeneration;

  EndpointListing(EndpointModules endpoints) {
    context = endpoints.context;
    table = endpoints.table;
    slowStart = endpoints.slowStart;
    polls = endpoints.polls;
    groupPolling = endpoints.groupPolling;
    primaries = endpoints.primaries;
    evaluations = endpoints.evaluations;
  }

  /** A list begins; endpoints that it does not name are gone. */
  void startList() {
    listGeneration++;
  }

  /** One entry of the list. */
  void recordEntry(
      int id, EndpointLifecycle state, int groupNumber, int zone, double size, Moment startedAt) {
    Endpoint endpoint = table.endpoint(id);
    if (endpoint == null) {
      endpoint = table.create(id);
    }
    assignToGroup(endpoint, table.group(groupNumber));
    double relativeSize = size > 0 && size < MAX_RELATIVE_SIZE ? size : 1;
    endpoint.updateListing(zone, relativeSize, startedAt, listGeneration);
    endpoint.setWasDraining(
        state == EndpointLifecycle.DRAINING
            || (endpoint.wasDraining() && state == EndpointLifecycle.GONE));
    slowStart.recordStart(endpoint, startedAt);
    setLifecycle(endpoint, state);
  }

  private void assignToGroup(Endpoint endpoint, ReplicaGroup group) {
    if (endpoint.group() == group) {
      return;
    }
    if (endpoint.group() != null) {
      primaries.lose(endpoint);
      endpoint.group().removeEndpoint(endpoint);
    }
    endpoint.assignTo(group);
    group.addEndpoint(endpoint);
  }

  /** Sets the state in the list; nothing new goes to an endpoint that drains from then on. */
  void setLifecycle(Endpoint endpoint, EndpointLifecycle state) {
    endpoint.setLifecycle(state);
    endpoint.group().subset().markStale();
    groupPolling.endpointRelisted(endpoint);
    if (state == EndpointLifecycle.GONE) {
      gone.add(endpoint);
    }
    if (!context.isListedForUse(endpoint)) {
      primaries.lose(endpoint);
    }
    evaluations.add(endpoint.group());
  }

  /** The list has ended: takes note of what it does not name, and removes what is long gone. */
  void finishList(boolean complete) {
    if (complete) {
      for (Endpoint endpoint : table.endpoints()) {
        if (endpoint != null
            && endpoint.listGeneration() != listGeneration
            && endpoint.lifecycle() != EndpointLifecycle.GONE) {
          setLifecycle(endpoint, EndpointLifecycle.GONE);
        }
      }
    }
    removeUnused();
    groupPolling.chooseGroups();
    groupPolling.pollRelisted();
  }

  /** Other settings may make other endpoints usable; each is polled at once. */
  void applySettings() {
    for (Endpoint endpoint : table.endpoints()) {
      if (endpoint != null) {
        setLifecycle(endpoint, endpoint.lifecycle());
      }
    }
    groupPolling.pollRelisted();
  }

  private void removeUnused() {
    List<Endpoint> unused = new ArrayList<>();
    gone.removeIf(
        endpoint ->
            endpoint.lifecycle() != EndpointLifecycle.GONE
                || (isUnused(endpoint) && unused.add(endpoint)));
    unused.sort(Comparator.comparingInt(Endpoint::id));
    for (Endpoint endpoint : unused) {
      table.remove(endpoint);
      endpoint.group().removeEndpoint(endpoint);
      polls.remove(endpoint);
      context.sink().onEndpointRemoved(endpoint.id());
    }
  }

  /** Until then the endpoint may be listed again, and what is known of it still counts. */
  private boolean isUnused(Endpoint endpoint) {
    return endpoint.lifecycle() == EndpointLifecycle.GONE
        && !context.isListedForUse(endpoint)
        && endpoint.load().inFlight() == 0
        && !slowStart.isWarmingUp(endpoint)
        && context.now().since(endpoint.polling().sentAt()).isLongerThan(MIN_TIME_SINCE_POLL);
  }
}
