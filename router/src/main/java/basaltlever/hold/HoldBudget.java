package basaltlever.hold;

import basaltlever.model.HoldQueue;
import basaltlever.model.Statement;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the held statements in total, for each group, and for each workload of a group, by number
 * and bytes. If a limit is exceeded, the statement of lowest priority is rejected where most are
 * held. A group that holds less than an equal share loses no statements to a flood in another
 * group, since that group holds more; likewise, a workload of high priority weight loses none to
 * one of low priority weight.
 */
public final class HoldBudget {
  /** Maximum share of the total budget for one group, if others leave it unused. */
  private static final double MAX_GROUP_SHARE = 0.5;

  /** Maximum share of its group's limit for one workload. */
  private static final double MAX_WORKLOAD_SHARE = 0.75;

  /**
   * The queues of groups with held statements, and some that have become empty since the last
   * check.
   */
  private final Set<HoldQueue> queues = new LinkedHashSet<>();

  private int maxStatements;
  private long maxBytes;

  /** Creates a budget of the given numbers of statements and bytes, both at least 1. */
  public HoldBudget(int statements, long bytes) {
    setLimits(statements, bytes);
  }

  /** Changes the limits; statements in excess are rejected as further statements are added. */
  public void setLimits(int newMaxStatements, long newMaxBytes) {
    maxStatements = newMaxStatements;
    maxBytes = newMaxBytes;
  }

  /** Creates the queue of a group with the given number of workloads. */
  public HoldQueue createQueue(int workloads) {
    return new HoldQueue(workloads);
  }

  /** Removes the empty queue of a group that no longer exists. */
  public void remove(HoldQueue holdQueue) {
    queues.remove(holdQueue);
  }

  /** The number of statements held in all groups. */
  public int heldStatements() {
    return queues.stream().mapToInt(HoldQueue::size).sum();
  }

  /**
   * Returns the statement to reject after one of the workload was added to the queue; null if all
   * limits are met. Must be called until it returns null.
   */
  public Statement nextToReject(HoldQueue queue, int workload) {
    queues.add(queue);
    int groupLimit = (int) Math.max(1, maxStatements * MAX_GROUP_SHARE);
    if (queue.size() > groupLimit
        || (queue.textBytes() > maxBytes * MAX_GROUP_SHARE && queue.size() > 1)) {
      return queue.last();
    }
    if (queue.size(workload) > Math.max(1, groupLimit * MAX_WORKLOAD_SHARE)) {
      return queue.last(workload);
    }
    return nextAcrossGroups(queue);
  }

  /**
   * Returns the last statement of the group that holds most, if all groups together exceed the
   * budget.
   */
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
      totalBytes += holdQueue.textBytes();
      largestByCount = holdQueue.size() > largestByCount.size() ? holdQueue : largestByCount;
      largestByBytes =
          holdQueue.textBytes() > largestByBytes.textBytes() ? holdQueue : largestByBytes;
    }
    if (count > maxStatements) {
      return largestByCount.last();
    }
    return totalBytes > maxBytes ? largestByBytes.last() : null;
  }
}
