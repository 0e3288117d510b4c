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
  private final FinalAnswers answers;
  private final ArrayDeque<Statement> pending = new ArrayDeque<>();

  StatementDispatcher(
      HoldBudget holdBudget,
      PrimaryTracker primaries,
      PrimarySelector primarySelector,
      ReplicaSelector replicaSelector,
      AdmissionControl admission,
      AttemptLauncher launcher,
      FinalAnswers answers) {
    this.holdBudget = holdBudget;
    this.primaries = primaries;
    this.primarySelector = primarySelector;
    this.replicaSelector = replicaSelector;
    this.admission = admission;
    this.launcher = launcher;
    this.answers = answers;
  }

  /** The statement needs an attempt, or its final answer. */
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
    RejectReason reason = admission.rejection(statement);
    if (reason != null) {
      rejectIfIdle(statement, reason);
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

  /** An attempt in flight may still bring the answer. */
  private void rejectIfIdle(Statement statement, RejectReason reason) {
    if (statement.attemptsInFlight() == 0) {
      boolean isHeld =
          statement.group().phase() == Phase.HOLD && statement.workload().requiresPrimary();
      answers.giveUp(statement, isHeld && AttemptPolicy.mayTryElsewhere(statement), reason);
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

  /** Holds a statement; what exceeds the budget is rejected. */
  private void hold(Statement statement) {
    ReplicaGroup group = statement.group();
    group.heldStatements().add(statement);
    Statement excess = holdBudget.nextToReject(group.heldStatements(), statement.workloadIndex());
    while (excess != null) {
      answers.leaveHold(excess);
      answers.giveUp(excess, false, RejectReason.HOLD_FULL);
      excess = holdBudget.nextToReject(group.heldStatements(), statement.workloadIndex());
    }
  }

  /** Dispatches what waits in a group's queues: held statements in order, then all reads. */
  void release(ReplicaGroup group) {
    Statement first = group.heldStatements().first();
    while (first != null && (admission.isOverdue(first) || primarySelector.select(first) != null)) {
      answers.leaveHold(first);
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
