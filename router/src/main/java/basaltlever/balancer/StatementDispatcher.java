package basaltlever.balancer;

import basaltlever.gateway.RejectReason;
import basaltlever.hold.HoldBudget;
import basaltlever.model.Endpoint;
import basaltlever.model.ReplicaGroup;
import basaltlever.model.ReplicaGroup.Phase;
import basaltlever.model.Statement;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** Sends, queues or rejects statements, and releases queued ones in order. */
final class StatementDispatcher {
  private final HoldBudget holdBudget;
  private final PrimaryTracker primaries;
  private final PrimarySelector primarySelector;
  private final ReplicaSelector replicaSelector;
  private final AdmissionControl admission;
  private final AttemptLauncher launcher;
  private final StatementCompletion completion;
  private final ArrayDeque<Statement> pending = new ArrayDeque<>();

  StatementDispatcher(
      HoldBudget holdBudget,
      PrimaryTracker primaries,
      PrimarySelector primarySelector,
      ReplicaSelector replicaSelector,
      AdmissionControl admission,
      AttemptLauncher launcher,
      StatementCompletion completion) {
    this.holdBudget = holdBudget;
    this.primaries = primaries;
    this.primarySelector = primarySelector;
    this.replicaSelector = replicaSelector;
    this.admission = admission;
    this.launcher = launcher;
    this.completion = completion;
  }

  /** Queues a statement that needs an attempt or its final answer. */
  void add(Statement statement) {
    pending.add(statement);
  }

  boolean hasPending() {
    return !pending.isEmpty();
  }

  void dispatchNext() {
    dispatch(pending.poll());
  }

  private void dispatch(Statement statement) {
    if (statement.isFinished()) {
      return;
    }
    RejectReason reason = admission.rejectReason(statement);
    if (reason != null) {
      rejectIfNoneInFlight(statement, reason);
      return;
    }
    Endpoint endpoint =
        statement.workload().requiresPrimary()
            ? primarySelector.select(statement)
            : replicaSelector.select(statement);
    if (endpoint != null) {
      launcher.launch(statement, endpoint);
    } else if (statement.attemptsInFlight() == 0) {
      enqueue(statement);
    }
  }

  /** Rejects the statement unless an attempt in flight may still return the answer. */
  private void rejectIfNoneInFlight(Statement statement, RejectReason reason) {
    if (statement.attemptsInFlight() == 0) {
      boolean isHeld =
          statement.group().phase() == Phase.HOLD && statement.workload().requiresPrimary();
      completion.rejectOrAbort(
          statement, isHeld && AttemptPolicy.canTryOtherRouter(statement), reason);
    }
  }

  private void enqueue(Statement statement) {
    ReplicaGroup group = statement.group();
    statement.setQueued(true);
    if (statement.workload().requiresPrimary()) {
      hold(statement);
    } else {
      group.waitingReads().add(statement);
    }
    if (group.phase() == Phase.HOLD) {
      primaries.pollForPrimary(group);
    }
  }

  /** Holds a statement; statements in excess of the budget are rejected. */
  private void hold(Statement statement) {
    ReplicaGroup group = statement.group();
    group.heldStatements().add(statement);
    Statement excess = holdBudget.nextToReject(group.heldStatements(), statement.workloadIndex());
    while (excess != null) {
      completion.removeFromHold(excess);
      completion.rejectOrAbort(excess, false, RejectReason.HOLD_FULL);
      excess = holdBudget.nextToReject(group.heldStatements(), statement.workloadIndex());
    }
  }

  /** Dispatches the queued statements of a group: held statements in order, then all reads. */
  void release(ReplicaGroup group) {
    Statement first = group.heldStatements().first();
    while (first != null && (admission.isOverdue(first) || primarySelector.select(first) != null)) {
      completion.removeFromHold(first);
      dispatch(first);
      first = group.heldStatements().first();
    }
    List<Statement> reads = new ArrayList<>(group.waitingReads().size());
    while (!group.waitingReads().isEmpty()) {
      reads.add(group.waitingReads().poll());
    }
    for (Statement read : reads) {
      read.setQueued(false);
      dispatch(read);
    }
  }
}
