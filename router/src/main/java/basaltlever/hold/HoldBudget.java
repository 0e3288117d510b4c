package basaltlever.hold;

import basaltlever.model.HoldQueue;
import basaltlever.model.Statement;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * How much may be held: in all, for each group, and for each workload of a group, in statements and
 * bytes. Beyond it the least important of whoever holds most goes. A group that holds less than its
 * equal share of all loses nothing to another's flood, since another holds more; and neither does
 * an important workload to a less important one.
 */
public final class HoldBudget {
  /**
   * One group may take this much of all where others leave it; a workload this much of its group's.
   */
  private static final double OF_ALL = 0.5;

  private static final double OF_GROUP = 0.75;

  /** Groups that hold something, and some that have released all since they were last gone over. */
  private final Set<HoldQueue> holding = new LinkedHashSet<>();

  private int statements;
  private long bytes;

  /** Both at least 1. */
  public HoldBudget(int statements, long bytes) {
    limit(statements, bytes);
  }

  /** From now on; what is held beyond it goes as the next ones come. */
  public void limit(int mostStatements, long mostBytes) {
    statements = mostStatements;
    bytes = mostBytes;
  }

  public HoldQueue group(int workloads) {
    return new HoldQueue(workloads);
  }

  /** It holds nothing any more, and its group is forgotten. */
  public void forget(HoldQueue held) {
    holding.remove(held);
  }

  public int held() {
    return holding.stream().mapToInt(HoldQueue::size).sum();
  }

  /**
   * Who has to go since one of the workload was added there; null where all have room. To be asked
   * until then.
   */
  public Statement nextToReject(HoldQueue added, int workload) {
    holding.add(added);
    int mostOfGroup = (int) Math.max(1, statements * OF_ALL);
    if (added.size() > mostOfGroup || (added.bytes() > bytes * OF_ALL && added.size() > 1)) {
      return added.last();
    }
    if (added.size(workload) > Math.max(1, mostOfGroup * OF_GROUP)) {
      return added.last(workload);
    }
    int count = 0;
    long size = 0;
    HoldQueue most = added;
    HoldQueue largest = added;
    for (Iterator<HoldQueue> each = holding.iterator(); each.hasNext(); ) {
      HoldQueue held = each.next();
      if (held.isEmpty()) {
        each.remove();
        continue;
      }
      count += held.size();
      size += held.bytes();
      most = held.size() > most.size() ? held : most;
      largest = held.bytes() > largest.bytes() ? held : largest;
    }
    return count > statements ? most.last() : size > bytes ? largest.last() : null;
  }
}
