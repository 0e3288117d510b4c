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

  private final Map<N, Integer> nodeIndices = new HashMap<>();
  private final List<N> nodes = new ArrayList<>();
  private final ArrayDeque<Integer> freeNodes = new ArrayDeque<>();

  private final IdIndex slots = new IdIndex();
  private long[] tickets = new long[INITIAL_SLOTS];

  /**
   * Attempts in flight, and one more while the final answer is owed: at zero the slot is free
   * again.
   */
  private int[] pending = new int[INITIAL_SLOTS];

  private int[] executions = new int[INITIAL_SLOTS];
  private boolean[] answered = new boolean[INITIAL_SLOTS];
  private int[] free = new int[INITIAL_SLOTS];
  private int freeCount;
  private int slotCount;

  public StatementRouter(Effects<N> effects, Function<DecisionSink, LoadBalancer> balance) {
    this.effects = effects;
    this.balancer = balance.apply(this);
  }

  /** Other values for the decisions, as agreed from now on. */
  public void applySettings(Moment now, Consumer<LoadBalancer> values) {
    values.accept(balancer);
    balancer.onTimerFired(now);
  }

  /** An endpoint list begins. */
  public void listStarted() {
    balancer.onListStarted();
  }

  /** The list names an endpoint. */
  public void endpointListed(
      Moment now,
      N node,
      EndpointLifecycle lifecycle,
      int group,
      int zone,
      double size,
      Moment startedAt) {
    Integer known = nodeIndices.get(node);
    boolean first = known == null;
    if (first) {
      if (freeNodes.isEmpty()) {
        freeNodes.push(nodes.size());
        nodes.add(null);
      }
      known = freeNodes.pop();
      nodes.set(known, node);
      nodeIndices.put(node, known);
    }
    balancer.onEndpointListed(now, known, lifecycle, group, zone, size, startedAt);
    if (first) {
      // Spread by the odd multiplier of Knuth's multiplicative hash: ids may share their low bits.
      balancer.setRingOrder(known, node.hashCode() * 0x9E3779B1);
    }
  }

  /** What was learned of members' positions came by a clock that was wrong. */
  public void forgetPositions(Moment now) {
    balancer.clearPositions(now);
  }

  /** Tells on-call how much of the list is polled regularly, where that has changed. */
  public void reportPolledGroups() {
    balancer.reportPolledGroups();
  }

  /** Members there are, and those gone that a rule may still ask for. */
  public int knownEndpoints() {
    return nodeIndices.size();
  }

  /** Whether no execution is out at it; so it is where nobody knows it. */
  public boolean isIdle(N node) {
    Integer known = nodeIndices.get(node);
    return known == null || balancer.learnedState().attemptsInFlight(known) == 0;
  }

  /** What was known of a node before this process, right after it is listed. */
  public void restore(Moment now, N node, EndpointState view) {
    balancer.learnedState().restore(now, nodeIndices.get(node), view);
  }

  /** Takes in what an earlier process learned of groups. */
  public void restore(Moment now, List<GroupState> groups) {
    groups.forEach(group -> balancer.learnedState().restore(now, group));
  }

  /**
   * What has been learned of some nodes by now: those of so many places from the given one on.
   * False where no place is left. A fleet told in one go would hold up the loop.
   */
  public boolean learned(Moment now, int from, int places, BiConsumer<N, EndpointState> each) {
    int end = Math.min(nodes.size(), from + places);
    for (int index = from; index < end; index++) {
      if (nodes.get(index) != null) {
        each.accept(nodes.get(index), balancer.learnedState().endpointState(now, index));
      }
    }
    return end < nodes.size();
  }

  /** What has been learned of all groups by now. */
  public List<GroupState> learnedOfGroups(Moment now) {
    return balancer.learnedState().groupStates(now);
  }

  /** The list ends; it may be complete, and may answer a call for it. */
  public void listFinished(Moment now, boolean complete, boolean asked) {
    balancer.onListFinished(now, complete, asked);
  }

  /** A call for the list failed. */
  public void listCallFailed(Moment now) {
    balancer.onListRequestFailed(now);
  }

  /** False where a statement with this ticket is still here. */
  public boolean statementReceived(Moment now, long ticket, StatementRequest request) {
    if (slots.find(ticket) >= 0) {
      return false;
    }
    int slot = takeSlot();
    slots.put(ticket, slot);
    tickets[slot] = ticket;
    pending[slot] = 1;
    executions[slot] = 0;
    answered[slot] = false;
    balancer.onStatementReceived(now, slot, request);
    return true;
  }

  private int takeSlot() {
    int slot = freeCount > 0 ? free[--freeCount] : slotCount++;
    if (slot >= tickets.length) {
      int size = 2 * tickets.length;
      tickets = Arrays.copyOf(tickets, size);
      pending = Arrays.copyOf(pending, size);
      executions = Arrays.copyOf(executions, size);
      answered = Arrays.copyOf(answered, size);
      free = Arrays.copyOf(free, size);
    }
    return slot;
  }

  /**
   * True where this is the statement's final answer. Where the outside ends statements by itself it
   * says so with {@code finished}.
   */
  public boolean attemptEnded(
      Moment now,
      long ticket,
      int execution,
      AttemptOutcome outcome,
      Role role,
      Moment position,
      boolean finished) {
    int slot = slots.find(ticket);
    if (slot < 0) {
      return false;
    }
    AttemptOutcome heard = checkedOutcome(slot, outcome, role);
    boolean completes = heard == AttemptOutcome.COMPLETED && !answered[slot];
    boolean over = finished || completes || answered[slot];
    boolean known = balancer.onAttemptEnded(now, slot, execution, heard, role, position, over);
    if (over) {
      settle(slot);
    }
    if (known) {
      release(slot);
    }
    return known && completes;
  }

  /** A fresh read that a replica answered may lack what it had to see. */
  private AttemptOutcome checkedOutcome(int slot, AttemptOutcome outcome, Role role) {
    boolean mayBeStale =
        outcome == AttemptOutcome.COMPLETED
            && role == Role.REPLICA
            && balancer.requiresFreshData(slot);
    return mayBeStale ? AttemptOutcome.MISS : outcome;
  }

  /** A poll ended. */
  public void pollEnded(
      Moment now,
      N node,
      AttemptOutcome outcome,
      Role role,
      Moment position,
      double util,
      double queue) {
    Integer known = nodeIndices.get(node);
    if (known != null) {
      balancer.onPollEnded(now, known, outcome, role, position, util, queue);
    }
  }

  /**
   * A member's word on a planned change of its group's primary; false where it names nobody that is
   * known.
   */
  public boolean switchoverAnnounced(
      Moment now, N member, long number, N target, Moment at, boolean off) {
    Integer from = nodeIndices.get(member);
    Integer named = nodeIndices.get(target);
    return from != null
        && named != null
        && balancer.onSwitchoverAnnounced(now, from, number, named, at, off);
  }

  /** A client waits no longer and needs no answer. */
  public void clientDisconnected(Moment now, long ticket) {
    int slot = slots.find(ticket);
    if (slot >= 0) {
      balancer.onClientDisconnected(now, slot);
      settle(slot);
    }
  }

  /**
   * The time of a statement is over: the decisions give their final answer now, if they have not
   * yet.
   */
  public void deadlinePassed(Moment now, long ticket) {
    int slot = slots.find(ticket);
    if (slot >= 0) {
      balancer.onDeadlinePassed(now, slot);
      settle(slot);
    }
  }

  /** The timer fired, or time has passed. */
  public void timerFired(Moment now) {
    balancer.onTimerFired(now);
  }

  private void settle(int slot) {
    if (!answered[slot]) {
      answered[slot] = true;
      release(slot);
    }
  }

  private void release(int slot) {
    if (--pending[slot] == 0) {
      slots.remove(tickets[slot]);
      free[freeCount++] = slot;
    }
  }

  @Override
  public void startAttempt(int statement, int node, Span timeout, Moment sendBy) {
    pending[statement]++;
    effects.startAttempt(
        tickets[statement], executions[statement]++, nodes.get(node), timeout, sendBy);
  }

  @Override
  public void cancel(int statement, int execution) {
    effects.cancel(tickets[statement], execution);
  }

  @Override
  public void reject(int statement, Span comeBackAfter, RejectReason reason) {
    if (!answered[statement]) {
      effects.reject(tickets[statement], comeBackAfter, reason);
      settle(statement);
    }
  }

  @Override
  public void abort(int statement) {
    if (!answered[statement]) {
      effects.abort(tickets[statement]);
      settle(statement);
    }
  }

  @Override
  public void poll(int node) {
    effects.poll(nodes.get(node));
  }

  @Override
  public void closeIdleConnections(int node) {
    effects.closeIdleConnections(nodes.get(node));
  }

  @Override
  public void endpointRemoved(int node) {
    N name = nodes.set(node, null);
    nodeIndices.remove(name);
    freeNodes.push(node);
    effects.endpointRemoved(name);
  }

  @Override
  public void watchEndpointList() {
    effects.watchEndpointList();
  }

  @Override
  public void setTimer(Span fromNow) {
    effects.setTimer(fromNow);
  }

  @Override
  public void openConnections(int node, int connections) {
    effects.openConnections(nodes.get(node), connections);
  }

  @Override
  public void switchoverPhaseChanged(int group, PlannedSwitchover.Phase phase, int target) {
    effects.switchoverPhaseChanged(group, phase, nodes.get(target));
  }

  @Override
  public void polledGroupsChanged(int groups, int members, int listed) {
    effects.polledGroupsChanged(groups, members, listed);
  }

  @Override
  public void primaryChanged(int group, int node, boolean found) {
    effects.primaryChanged(group, nodes.get(node), found);
  }
}
