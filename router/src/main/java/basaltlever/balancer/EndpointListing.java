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

/** Applies the endpoint list: new endpoints, draining ones, and removed ones. */
final class EndpointListing {
  private static final double MAX_RELATIVE_SIZE = 1e9;

  /** An endpoint polled more recently than this may still have messages in flight. */
  private static final Span MIN_TIME_SINCE_POLL = Timing.LONG_DECAY;

  private final DecisionContext context;
  private final EndpointTable table;
  private final SlowStart slowStart;
  private final PollScheduler polls;
  private final GroupPolling groupPolling;
  private final PrimaryTracker primaries;
  private final EvaluationQueue evaluations;
  private final Set<Endpoint> goneEndpoints = new LinkedHashSet<>();
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

  /**
   * Begins a list. If it is complete, endpoints that it does not contain are marked gone at its
   * end.
   */
  void startList() {
    listGeneration++;
  }

  /** Applies one entry of the list. */
  void recordEntry(
      int id, EndpointLifecycle state, int groupNumber, int zone, double size, Moment startedAt) {
    Endpoint endpoint = table.endpoint(id);
    if (endpoint == null) {
      endpoint = table.create(id);
    }
    assignToGroup(endpoint, table.getOrCreateGroup(groupNumber));
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
      primaries.markLost(endpoint);
      endpoint.group().removeEndpoint(endpoint);
    }
    endpoint.assignTo(group);
    group.addEndpoint(endpoint);
  }

  /** Sets the lifecycle state; an endpoint that drains gets no new statements from then on. */
  void setLifecycle(Endpoint endpoint, EndpointLifecycle state) {
    endpoint.setLifecycle(state);
    endpoint.group().subset().markStale();
    groupPolling.onEndpointRelisted(endpoint);
    if (state == EndpointLifecycle.GONE) {
      goneEndpoints.add(endpoint);
    }
    if (!context.isListedForUse(endpoint)) {
      primaries.markLost(endpoint);
    }
    evaluations.add(endpoint.group());
  }

  /**
   * The list has ended: if it is complete, marks endpoints that it does not contain as gone; then
   * removes gone endpoints that are no longer in use.
   */
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

  /**
   * Reevaluates all endpoints, since new settings may make others usable, and schedules polls for
   * those in regularly polled groups.
   */
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
    goneEndpoints.removeIf(
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

  /**
   * Whether a gone endpoint can be removed. Until then it may be listed again, and its state still
   * applies.
   */
  private boolean isUnused(Endpoint endpoint) {
    return endpoint.lifecycle() == EndpointLifecycle.GONE
        && !context.isListedForUse(endpoint)
        && endpoint.load().inFlight() == 0
        && !slowStart.isWarmingUp(endpoint)
        && context.now().since(endpoint.polling().sentAt()).isLongerThan(MIN_TIME_SINCE_POLL);
  }
}
