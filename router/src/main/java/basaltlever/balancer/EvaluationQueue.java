package basaltlever.balancer;

import basaltlever.model.ReplicaGroup;
import java.util.ArrayDeque;

/** Groups whose primary and waiting statements are to be evaluated again, each once. */
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

  /** The next group. It is queued again only once it was marked as evaluated. */
  ReplicaGroup next() {
    return pending.poll();
  }

  /** Changes from now on queue the group again. */
  void markEvaluated(ReplicaGroup group) {
    group.setEvaluationPending(false);
  }
}
