package basaltlever.hold;

import basaltlever.model.HoldQueue;
import basaltlever.model.Statement;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * How much may be held: in all, for each group, and for each workload of a group, in statements and
 * bytes. Beyond it the statement of lowest priority is rejected where most is held. A group that
 * holds less than its equal share loses nothing to another's flood, since another holds more; and
 * neither does a workload of high priority weight to one of low.
 */
public final class HoldBudget {
  /** Share of the whole budget that one group may take where others leave it. */
  private static final double MAX_GROUP_SHARE = 0.5;

  /** Share of its group's limit that one workload may take. */
  private static final double MAX_WORKLOAD_SHARE = 0.75;

  /** Groups that hold something, and some that have released all since they were last gone over. */
  private final Set<HoldQueue> queues = new LinkedHashSet<>();

  private int maxStatements;
  private long maxBytes;

  /** A budget of so many statements and bytes, both at least 1. */
  public HoldBudget(int statements, long bytes) {
    setLimits(statements, bytes);
  }

  /** Changes the budget; what exceeds it is rejected as further statements come. */
  public void setLimits(int newMaxStatements, long newMaxBytes) {
    maxStatements = newMaxStatements;
    maxBytes = newMaxBytes;
  }

  /** A queue for a group with so many workloads. */
  public HoldQueue createQueue(int workloads) {
    return new HoldQueue(workloads);
  }

  /** The queue is empty, and its group is forgotten. */
  public void remove(HoldQueue holdQueue) {
    queues.remove(holdQueue);
  }

  /** Statements held in all groups. */
  public int heldStatements() {
    return queues.stream().mapToInt(HoldQueue::size).sum();
  }

  /**
   * The statement to reject since one of the workload was added there; null where all are within
   * the budget. To be called until it returns null.
   */
  public Statement nextToReject(HoldQueue queue, int workload) {
    queues.add(queue);
    int groupLimit = (int) Math.max(1, maxStatements * MAX_GROUP_SHARE);
    if (queue.size() > groupLimit
        || (queue.bytes() > maxBytes * MAX_GROUP_SHARE && queue.size() > 1)) {
      return queue.last();
    }
    if (queue.size(workload) > Math.max(1, groupLimit * MAX_WORKLOAD_SHARE)) {
      return queue.last(workload);
    }
    return nextAcrossGroups(queue);
  }

  /** Where all groups together exceed the budget: the last of the group that holds most. */
  private Statement nextAcrossGroups(HoldQueue queue) {
    int count = 0;
    long totalBytes = 0;
    HoldQueue largestByCount = queue;
    HoldQueue largestByBytes = queue;
    for (Iterator<HoldQueue> iterator = queues.iterator(); iterator.hasNext(); ) {
      HoldQueue holdQueue = iterator.next();
      if (holdQueue.isEmpty()) {
        iterator.remove();
        continue;
      }
      count += holdQueue.size();
      totalBytes += holdQueue.bytes();
      largestByCount = holdQueue.size() > largestByCount.size() ? holdQueue : largestByCount;
      largestByBytes = holdQueue.bytes() > largestByBytes.bytes() ? holdQueue : largestByBytes;
    }
    if (count > maxStatements) {
      return largestByCount.last();
    }
    return totalBytes > maxBytes ? largestByBytes.last() : null;
  }
}
