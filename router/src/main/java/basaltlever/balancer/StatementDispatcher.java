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
  private final EndpointSelector endpointSelector;
  private final AdmissionControl admission;
  private final AttemptLauncher launcher;
  private final StatementCompletion completion;
  private final WaitEstimator waits;
  private final ArrayDeque<Statement> pending = new ArrayDeque<>();

  StatementDispatcher(
      HoldBudget holdBudget,
      PrimaryTracker primaries,
      EndpointSelector endpointSelector,
      AdmissionControl admission,
      AttemptLauncher launcher,
      StatementCompletion completion,
      WaitEstimator waits) {
    this.holdBudget = holdBudget;
    this.primaries = primaries;
    this.endpointSelector = endpointSelector;
    this.admission = admission;
    this.launcher = launcher;
    this.completion = completion;
    this.waits = waits;
  }

  /** Queues a statement that needs an attempt or its final answer. */
  void add(Statement statement) {
    pending.add(statement);
  }

  boolean hasPending() {
    return !pending.isEmpty();
  }

  void dispatchNext() {
    Statement statement = pending.poll();
    if (needsPlace(statement)) {
      enqueueOrShed(statement, waits.workAheadMicros(statement));
    }
  }

  /**
   * Sends the statement or gives its final answer, if either is due. Returns whether it has to wait
   * for capacity.
   */
  private boolean needsPlace(Statement statement) {
    if (statement.isFinished()) {
      return false;
    }
    RejectReason reason = admission.rejectReason(statement);
    if (reason != null) {
      rejectIfNoneInFlight(statement, reason);
      return false;
    }
    Endpoint endpoint = endpointSelector.select(statement);
    if (endpoint != null) {
      launcher.launch(statement, endpoint);
      return false;
    }
    return statement.attemptsInFlight() == 0;
  }

  /** Rejects the statement unless an attempt in flight may still return the answer. */
  private void rejectIfNoneInFlight(Statement statement, RejectReason reason) {
    if (statement.attemptsInFlight() == 0) {
      completion.rejectOrAbort(statement, reason);
    }
  }

  /** Lets the statement wait, or rejects it at once if it would wait in vain. */
  private void enqueueOrShed(Statement statement, double workAheadMicros) {
    if (admission.wouldWaitInVain(statement, workAheadMicros)) {
      completion.rejectOrAbort(statement, RejectReason.SHED);
    } else {
      enqueue(statement);
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

  /** Moves a waiting statement behind those whose answers can still be in time. */
  void lowerPriority(Statement statement) {
    ReplicaGroup group = statement.group();
    if (statement.workload().requiresPrimary()) {
      statement.markLate();
      group.heldStatements().lowerPriority(statement);
    } else {
      group.waitingReads().remove(statement);
      statement.markLate();
      group.waitingReads().add(statement);
    }
  }

  /** Holds a statement; statements in excess of the budget are rejected. */
  private void hold(Statement statement) {
    ReplicaGroup group = statement.group();
    group.heldStatements().add(statement);
    Statement excess = holdBudget.nextToReject(group.heldStatements(), statement.workloadIndex());
    while (excess != null) {
      completion.removeFromHold(excess);
      completion.rejectOrAbort(excess, RejectReason.HOLD_FULL);
      excess = holdBudget.nextToReject(group.heldStatements(), statement.workloadIndex());
    }
  }

  /** Dispatches the queued statements of a group: held statements in order, then all reads. */
  void release(ReplicaGroup group) {
    releaseHeld(group);
    shedHeld(group);
    releaseReads(group);
  }

  private void releaseHeld(ReplicaGroup group) {
    Statement first = group.heldStatements().first();
    while (first != null
        && (admission.isOverdue(first) || endpointSelector.select(first) != null)) {
      completion.removeFromHold(first);
      if (needsPlace(first)) {
        enqueue(first);
      }
      first = group.heldStatements().first();
    }
  }

  /** Rejects the held statements that the primary can't execute in time after those before them. */
  private void shedHeld(ReplicaGroup group) {
    double workAheadMicros = 0;
    List<Statement> inVain = new ArrayList<>();
    for (Statement held : group.heldStatements().inReleaseOrder()) {
      if (admission.wouldWaitInVain(held, workAheadMicros)) {
        inVain.add(held);
      } else {
        workAheadMicros += waits.typicalMicros(held);
      }
    }
    inVain.forEach(held -> completion.rejectOrAbort(held, RejectReason.SHED));
  }

  private void releaseReads(ReplicaGroup group) {
    List<Statement> reads = new ArrayList<>(group.waitingReads().size());
    while (!group.waitingReads().isEmpty()) {
      reads.add(group.waitingReads().poll());
    }
    double workAheadMicros = 0;
    for (Statement read : reads) {
      read.setQueued(false);
      if (needsPlace(read)) {
        enqueueOrShed(read, workAheadMicros);
        workAheadMicros += read.isFinished() ? 0 : waits.typicalMicros(read);
      }
    }
  }
}
