package basaltlever.core;

import basaltlever.balancer.LoadBalancer;
import basaltlever.gateway.AttemptOutcome;
import basaltlever.gateway.DecisionSink;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.gateway.RejectReason;
import basaltlever.gateway.Role;
import basaltlever.gateway.StatementRequest;
import basaltlever.snapshot.EndpointState;
import basaltlever.snapshot.GroupState;
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
 * One router without its I/O: turns the outside's ids into small indices, counts the executions
 * that are out and sees to it that each statement gets one final answer. Sockets and the simulator
 * both stand on it.
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
   * Attempts in flight, and one more while the final answer is owed: at zero the slot is free
   * again.
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

  /** Other values for the decisions, as agreed from now on. */
  public void applySettings(Moment now, Consumer<LoadBalancer> change) {
    change.accept(balancer);
    balancer.timerFired(now);
  }

  /** An endpoint list begins. */
  public void onListStarted() {
    balancer.listStarted();
  }

  /** The list names an endpoint. */
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
    balancer.endpointListed(now, index, lifecycle, group, zone, size, startedAt);
    if (isNew) {
      // Spread by the odd multiplier of Knuth's multiplicative hash: ids may share their low bits.
      balancer.ringOrderKnown(index, endpoint.hashCode() * 0x9E3779B1);
    }
  }

  /** What was learned of members' positions came by a clock that was wrong. */
  public void resetPositions(Moment now) {
    balancer.forgetPositions(now);
  }

  /** Tells on-call how much of the list is polled regularly, where that has changed. */
  public void reportPolledGroups() {
    balancer.reportPolledGroups();
  }

  /** Members there are, and those gone that a rule may still ask for. */
  public int endpointCount() {
    return endpointIndices.size();
  }

  /** Whether no execution is out at it; so it is where nobody knows it. */
  public boolean isIdle(N endpoint) {
    Integer index = endpointIndices.get(endpoint);
    return index == null || balancer.learnedState().attemptsInFlight(index) == 0;
  }

  /** What was known of a node before this process, right after it is listed. */
  public void restore(Moment now, N endpoint, EndpointState state) {
    balancer.learnedState().restore(now, endpointIndices.get(endpoint), state);
  }

  /** Takes in what an earlier process learned of groups. */
  public void restore(Moment now, List<GroupState> groups) {
    groups.forEach(group -> balancer.learnedState().restore(now, group));
  }

  /**
   * What has been learned of some nodes by now: those of so many places from the given one on.
   * False where no place is left. A fleet told in one go would hold up the loop.
   */
  public boolean collectEndpointStates(
      Moment now, int fromIndex, int maxEndpoints, BiConsumer<N, EndpointState> consumer) {
    int end = Math.min(endpoints.size(), fromIndex + maxEndpoints);
    for (int index = fromIndex; index < end; index++) {
      if (endpoints.get(index) != null) {
        consumer.accept(endpoints.get(index), balancer.learnedState().learned(now, index));
      }
    }
    return end < endpoints.size();
  }

  /** What has been learned of all groups by now. */
  public List<GroupState> groupStates(Moment now) {
    return balancer.learnedState().learnedOfGroups(now);
  }

  /** The list ends; it may be complete, and may answer a call for it. */
  public void onListFinished(Moment now, boolean complete, boolean requested) {
    balancer.listFinished(now, complete, requested);
  }

  /** A call for the list failed. */
  public void onListCallFailed(Moment now) {
    balancer.listCallFailed(now);
  }

  /** False where a statement with this ticket is still here. */
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
    balancer.statementReceived(now, slot, request);
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
   * True where this is the statement's final answer. Where the outside ends statements by itself it
   * says so with {@code finished}.
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
        balancer.attemptEnded(now, slot, attempt, checkedOutcome, role, position, statementEnded);
    if (statementEnded) {
      markAnswered(slot);
    }
    if (wasInFlight) {
      releaseReference(slot);
    }
    return wasInFlight && completes;
  }

  /** A fresh read that a replica answered may lack what it had to see. */
  private AttemptOutcome checkFreshness(int slot, AttemptOutcome outcome, Role role) {
    boolean mayBeStale =
        outcome == AttemptOutcome.COMPLETED && role == Role.REPLICA && balancer.needsFresh(slot);
    return mayBeStale ? AttemptOutcome.MISS : outcome;
  }

  /** A poll ended. */
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
      balancer.pollEnded(now, index, outcome, role, position, utilization, queue);
    }
  }

  /**
   * A member's word on a planned change of its group's primary; false where it names nobody that is
   * known.
   */
  public boolean onSwitchoverAnnounced(
      Moment now, N announcer, long number, N target, Moment startAt, boolean cancelled) {
    Integer announcerIndex = endpointIndices.get(announcer);
    Integer targetIndex = endpointIndices.get(target);
    return announcerIndex != null
        && targetIndex != null
        && balancer.switchoverAnnounced(
            now, announcerIndex, number, targetIndex, startAt, cancelled);
  }

  /** A client waits no longer and needs no answer. */
  public void onClientDisconnected(Moment now, long ticket) {
    int slot = slotIndex.find(ticket);
    if (slot >= 0) {
      balancer.clientDisconnected(now, slot);
      markAnswered(slot);
    }
  }

  /**
   * The time of a statement is over: the decisions give their final answer now, if they have not
   * yet.
   */
  public void onDeadlinePassed(Moment now, long ticket) {
    int slot = slotIndex.find(ticket);
    if (slot >= 0) {
      balancer.deadlinePassed(now, slot);
      markAnswered(slot);
    }
  }

  /** The timer fired, or time has passed. */
  public void onTimerFired(Moment now) {
    balancer.timerFired(now);
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
