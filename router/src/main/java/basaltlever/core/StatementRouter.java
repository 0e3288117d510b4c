package basaltlever.core;

import basaltlever.balancer.LoadBalancer;
import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.DecisionSink;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.gateway.RejectReason;
import basaltlever.gateway.Role;
import basaltlever.gateway.StatementRequest;
import basaltlever.snapshot.EndpointState;
import basaltlever.switchover.PlannedSwitchover;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * One router without I/O. Maps external ids to small indices, counts the attempts in flight and
 * ensures that each statement gets exactly one final response. Both the socket server and the
 * simulator adapter use it.
 */
public final class StatementRouter<N> implements DecisionSink {
  private static final int INITIAL_SLOTS = 256;

  private final Effects<N> effects;
  private final LoadBalancer balancer;

  private final Map<N, Integer> endpointIndices = new HashMap<>();
  private final List<N> endpoints = new ArrayList<>();
  private final ArrayDeque<Integer> freeEndpointIndices = new ArrayDeque<>();

  private final IdIndex slotIndex = new IdIndex();
  private long[] tickets = new long[INITIAL_SLOTS];

  /**
   * References to each slot: its attempts in flight, plus one until the final response. At zero the
   * slot is free.
   */
  private int[] referenceCounts = new int[INITIAL_SLOTS];

  private int[] attemptCounts = new int[INITIAL_SLOTS];
  private boolean[] answered = new boolean[INITIAL_SLOTS];
  private int[] freeSlots = new int[INITIAL_SLOTS];
  private int freeSlotCount;
  private int slotCount;

  public StatementRouter(Effects<N> effects, Function<DecisionSink, LoadBalancer> balancerFactory) {
    this.effects = effects;
    this.balancer = balancerFactory.apply(this);
  }

  /** Applies a change of settings to the balancer. */
  public void applySettings(Moment now, Consumer<LoadBalancer> change) {
    change.accept(balancer);
    balancer.onTimerFired(now);
  }

  /** Called at the start of an endpoint list. */
  public void onListStarted() {
    balancer.onListStarted();
  }

  /** Called for each endpoint in the list. */
  public void onEndpointListed(
      Moment now,
      N endpoint,
      EndpointLifecycle lifecycle,
      int group,
      int zone,
      double size,
      Moment startedAt) {
    Integer index = endpointIndices.get(endpoint);
    boolean isNew = index == null;
    if (isNew) {
      if (freeEndpointIndices.isEmpty()) {
        freeEndpointIndices.push(endpoints.size());
        endpoints.add(null);
      }
      index = freeEndpointIndices.pop();
      endpoints.set(index, endpoint);
      endpointIndices.put(endpoint, index);
    }
    balancer.onEndpointListed(now, index, lifecycle, group, zone, size, startedAt);
    if (isNew) {
      // Endpoint ids may share their low bits, so they are spread by the odd multiplier of Knuth's
      // multiplicative hash.
      balancer.setRingOrder(index, endpoint.hashCode() * 0x9E3779B1);
    }
  }

  /**
   * Discards the positions recorded for endpoints, because they were measured by a clock that was
   * wrong.
   */
  public void resetPositions(Moment now) {
    balancer.clearPositions(now);
  }

  /**
   * Reports to on-call how many of the listed endpoints are polled regularly, if that has changed.
   */
  public void reportPolledGroups() {
    balancer.reportPolledGroups();
  }

  /** Returns the number of endpoints, including removed ones that decisions may still refer to. */
  public int endpointCount() {
    return endpointIndices.size();
  }

  /** Returns whether no attempt is in flight at the endpoint; also true for an unknown endpoint. */
  public boolean isIdle(N endpoint) {
    Integer index = endpointIndices.get(endpoint);
    return index == null || balancer.learnedState().attemptsInFlight(index) == 0;
  }

  /**
   * Restores the state that an earlier process recorded for an endpoint. Called right after the
   * endpoint is listed.
   */
  public void restore(Moment now, N endpoint, EndpointState state) {
    balancer.learnedState().restore(now, endpointIndices.get(endpoint), state);
  }

  /**
   * Passes the learned state of a range of endpoint indices to the consumer. Returns false if no
   * index is left. The range is limited because exporting a large endpoint list in one call would
   * delay the event loop.
   */
  public boolean collectEndpointStates(
      Moment now, int fromIndex, int maxEndpoints, BiConsumer<N, EndpointState> consumer) {
    int end = Math.min(endpoints.size(), fromIndex + maxEndpoints);
    for (int index = fromIndex; index < end; index++) {
      if (endpoints.get(index) != null) {
        consumer.accept(endpoints.get(index), balancer.learnedState().endpointState(now, index));
      }
    }
    return end < endpoints.size();
  }

  /**
   * Called at the end of an endpoint list.
   *
   * @param complete whether the list contains all endpoints
   * @param requested whether the list answers a request for it
   */
  public void onListFinished(Moment now, boolean complete, boolean requested) {
    balancer.onListFinished(now, complete, requested);
  }

  /** Called when a request for the endpoint list failed. */
  public void onListCallFailed(Moment now) {
    balancer.onListRequestFailed(now);
  }

  /**
   * Called when a statement arrives. Returns false if a statement with this ticket is still open.
   */
  public boolean onStatementReceived(Moment now, long ticket, StatementRequest request) {
    if (slotIndex.find(ticket) >= 0) {
      return false;
    }
    int slot = allocateSlot();
    slotIndex.put(ticket, slot);
    tickets[slot] = ticket;
    referenceCounts[slot] = 1;
    attemptCounts[slot] = 0;
    answered[slot] = false;
    balancer.onStatementReceived(now, slot, request);
    return true;
  }

  private int allocateSlot() {
    int slot = freeSlotCount > 0 ? freeSlots[--freeSlotCount] : slotCount++;
    if (slot >= tickets.length) {
      int size = 2 * tickets.length;
      tickets = Arrays.copyOf(tickets, size);
      referenceCounts = Arrays.copyOf(referenceCounts, size);
      attemptCounts = Arrays.copyOf(attemptCounts, size);
      answered = Arrays.copyOf(answered, size);
      freeSlots = Arrays.copyOf(freeSlots, size);
    }
    return slot;
  }

  /**
   * Called when an attempt ends. Returns whether this outcome is the statement's final response.
   *
   * @param finished whether the caller has already ended the statement
   */
  public boolean onAttemptEnded(
      Moment now,
      long ticket,
      int attempt,
      AttemptOutcome outcome,
      Role role,
      Moment position,
      boolean finished) {
    int slot = slotIndex.find(ticket);
    if (slot < 0) {
      return false;
    }
    AttemptOutcome checkedOutcome = checkFreshness(slot, outcome, role);
    boolean completes = checkedOutcome == AttemptOutcome.COMPLETED && !answered[slot];
    boolean statementEnded = finished || completes || answered[slot];
    boolean wasInFlight =
        balancer.onAttemptEnded(now, slot, attempt, checkedOutcome, role, position, statementEnded);
    if (statementEnded) {
      markAnswered(slot);
    }
    if (wasInFlight) {
      releaseReference(slot);
    }
    return wasInFlight && completes;
  }

  /**
   * Replaces the outcome of a fresh read by {@code STALE} if a replica answered it, because the
   * replica may lack required data. The read was executed all the same, which matters unless it is
   * idempotent.
   */
  private AttemptOutcome checkFreshness(int slot, AttemptOutcome outcome, Role role) {
    boolean mayBeStale =
        outcome == AttemptOutcome.COMPLETED
            && role == Role.REPLICA
            && balancer.requiresFreshData(slot);
    return mayBeStale ? AttemptOutcome.STALE : outcome;
  }

  /** Called when a poll ends. */
  public void onPollEnded(
      Moment now,
      N endpoint,
      AttemptOutcome outcome,
      Role role,
      Moment position,
      double utilization,
      double queue) {
    Integer index = endpointIndices.get(endpoint);
    if (index != null) {
      balancer.onPollEnded(now, index, outcome, role, position, utilization, queue);
    }
  }

  /**
   * Called when an endpoint announces a planned switchover of its group's primary. Returns false if
   * the target is unknown or nothing has changed.
   */
  public boolean onSwitchoverAnnounced(
      Moment now, N announcer, long number, N target, Moment startAt, boolean cancelled) {
    Integer announcerIndex = endpointIndices.get(announcer);
    Integer targetIndex = endpointIndices.get(target);
    return announcerIndex != null
        && targetIndex != null
        && balancer.onSwitchoverAnnounced(
            now, announcerIndex, number, targetIndex, startAt, cancelled);
  }

  /** Called when a client has disconnected and needs no response. */
  public void onClientDisconnected(Moment now, long ticket) {
    int slot = slotIndex.find(ticket);
    if (slot >= 0) {
      balancer.onClientDisconnected(now, slot);
      markAnswered(slot);
    }
  }

  /**
   * Called when the time limit of a statement has passed: it gets its final response now, if it has
   * none yet.
   */
  public void onDeadlinePassed(Moment now, long ticket) {
    int slot = slotIndex.find(ticket);
    if (slot >= 0) {
      balancer.onDeadlinePassed(now, slot);
      markAnswered(slot);
    }
  }

  /** Called when the timer fires or time has passed. */
  public void onTimerFired(Moment now) {
    balancer.onTimerFired(now);
  }

  private void markAnswered(int slot) {
    if (!answered[slot]) {
      answered[slot] = true;
      releaseReference(slot);
    }
  }

  private void releaseReference(int slot) {
    if (--referenceCounts[slot] == 0) {
      slotIndex.remove(tickets[slot]);
      freeSlots[freeSlotCount++] = slot;
    }
  }

  @Override
  public void startAttempt(int statement, int endpoint, Span timeout, Moment sendBy) {
    referenceCounts[statement]++;
    effects.startAttempt(
        tickets[statement], attemptCounts[statement]++, endpoints.get(endpoint), timeout, sendBy);
  }

  @Override
  public void cancel(int statement, int attempt) {
    effects.cancel(tickets[statement], attempt);
  }

  @Override
  public void reject(int statement, Span retryAfter, RejectReason reason) {
    if (!answered[statement]) {
      effects.reject(tickets[statement], retryAfter, reason);
      markAnswered(statement);
    }
  }

  @Override
  public void abort(int statement) {
    if (!answered[statement]) {
      effects.abort(tickets[statement]);
      markAnswered(statement);
    }
  }

  @Override
  public void poll(int endpoint) {
    effects.poll(endpoints.get(endpoint));
  }

  @Override
  public void closeIdleConnections(int endpoint) {
    effects.closeIdleConnections(endpoints.get(endpoint));
  }

  @Override
  public void onEndpointRemoved(int endpoint) {
    N name = endpoints.set(endpoint, null);
    endpointIndices.remove(name);
    freeEndpointIndices.push(endpoint);
    effects.onEndpointRemoved(name);
  }

  @Override
  public void watchEndpointList() {
    effects.watchEndpointList();
  }

  @Override
  public void setTimer(Span delay) {
    effects.setTimer(delay);
  }

  @Override
  public void openConnections(int endpoint, int connections) {
    effects.openConnections(endpoints.get(endpoint), connections);
  }

  @Override
  public void onSwitchoverPhaseChanged(int group, PlannedSwitchover.Phase phase, int target) {
    effects.onSwitchoverPhaseChanged(group, phase, endpoints.get(target));
  }

  @Override
  public void onPolledGroupsChanged(int groups, int endpoints, int listed) {
    effects.onPolledGroupsChanged(groups, endpoints, listed);
  }

  @Override
  public void onPrimaryChanged(int group, int endpoint, boolean found) {
    effects.onPrimaryChanged(group, endpoints.get(endpoint), found);
  }
}
