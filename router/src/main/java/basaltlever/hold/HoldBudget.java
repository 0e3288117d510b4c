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
  private final Set<HoldQueue> holding = new LinkedHashSet<>();

  private int statements;
  private long bytes;

  /** A budget of so many statements and bytes, both at least 1. */
  public HoldBudget(int statements, long bytes) {
    limit(statements, bytes);
  }

  /** Changes the budget; what exceeds it is rejected as further statements come. */
  public void limit(int mostStatements, long mostBytes) {
    statements = mostStatements;
    bytes = mostBytes;
  }

  /** A queue for a group with so many workloads. */
  public HoldQueue group(int workloads) {
    return new HoldQueue(workloads);
  }

  /** The queue is empty, and its group is forgotten. */
  public void forget(HoldQueue holdQueue) {
    holding.remove(holdQueue);
  }

  /** Statements held in all groups. */
  public int held() {
    return holding.stream().mapToInt(HoldQueue::size).sum();
  }

  /**
   * The statement to reject since one of the workload was added there; null where all are within
   * the budget. To be called until it returns null.
   */
  public Statement nextToReject(HoldQueue added, int workload) {
    holding.add(added);
    int groupLimit = (int) Math.max(1, statements * MAX_GROUP_SHARE);
    if (added.size() > groupLimit
        || (added.textBytes() > bytes * MAX_GROUP_SHARE && added.size() > 1)) {
      return added.last();
    }
    if (added.size(workload) > Math.max(1, groupLimit * MAX_WORKLOAD_SHARE)) {
      return added.last(workload);
    }
    return nextOfAllGroups(added);
  }

  /** Where all groups together exceed the budget: the last of the group that holds most. */
  private Statement nextOfAllGroups(HoldQueue added) {
    int count = 0;
    long size = 0;
    HoldQueue most = added;
    HoldQueue largest = added;
    for (Iterator<HoldQueue> iterator = holding.iterator(); iterator.hasNext(); ) {
      HoldQueue holdQueue = iterator.next();
      if (holdQueue.isEmpty()) {
        iterator.remove();
        continue;
      }
      count += holdQueue.size();
      size += holdQueue.textBytes();
      most = holdQueue.size() > most.size() ? holdQueue : most;
      largest = holdQueue.textBytes() > largest.textBytes() ? holdQueue : largest;
    }
    if (count > statements) {
      return most.last();
    }
    return size > bytes ? largest.last() : null;
  }
}
