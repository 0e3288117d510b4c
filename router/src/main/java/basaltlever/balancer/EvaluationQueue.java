package basaltlever.balancer;

import basaltlever.model.ReplicaGroup;
import java.util.ArrayDeque;

/**
 * Queue of groups whose primary and waiting statements must be reevaluated; each is queued once.
 */
final class EvaluationQueue {
  private final ArrayDeque<ReplicaGroup> pending = new ArrayDeque<>();

  void add(ReplicaGroup group) {
    if (!group.isEvaluationPending()) {
      group.setEvaluationPending(true);
      pending.add(group);
    }
  }

  boolean isEmpty() {
    return pending.isEmpty();
  }

  /**
   * Removes and returns the next group. It can be queued again only after {@link #markEvaluated}.
   */
  ReplicaGroup next() {
    return pending.poll();
  }

  /** Lets later changes queue the group again. */
  void markEvaluated(ReplicaGroup group) {
    group.setEvaluationPending(false);
  }
}
