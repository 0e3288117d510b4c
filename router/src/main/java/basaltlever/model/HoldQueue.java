package basaltlever.model;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeSet;

/**
 * The statements of one group that wait for its primary: the most important first, among equals the
 * earliest, and those of one session always in the order in which they came. Each step costs the
 * logarithm of how many there are.
 */
public final class HoldQueue {
  private static final Comparator<Statement> ORDER =
      Comparator.comparingDouble((Statement statement) -> -statement.holdPriority())
          .thenComparingLong(statement -> statement.receivedAt().micros())
          .thenComparingInt(statement -> statement.id());

  private final TreeSet<Statement> order = new TreeSet<>(ORDER);

  /** Of each session those that are held, the earliest first; a session commonly has one. */
  private final Map<Long, ArrayDeque<Statement>> sessions = new HashMap<>();

  private int[] ofWorkload;
  private long bytes;

  public HoldQueue(int workloads) {
    ofWorkload = new int[workloads];
  }

  public boolean isEmpty() {
    return order.isEmpty();
  }

  public int size() {
    return order.size();
  }

  public long bytes() {
    return bytes;
  }

  public int size(int workload) {
    return workload < ofWorkload.length ? ofWorkload[workload] : 0;
  }

  /** Null where there is none. */
  public Statement first() {
    return order.isEmpty() ? null : order.first();
  }

  /** The one to go where there is no room for all; null where there is none. */
  public Statement last() {
    return order.isEmpty() ? null : order.last();
  }

  /** The last of one workload. */
  public Statement last(int workload) {
    for (Iterator<Statement> each = order.descendingIterator(); each.hasNext(); ) {
      Statement next = each.next();
      if (next.workloadIndex() == workload) {
        return next;
      }
    }
    return null;
  }

  public void add(Statement statement) {
    statement.setHoldPriority(statement.workload().importance());
    if (statement.session() != 0) {
      ArrayDeque<Statement> own =
          sessions.computeIfAbsent(statement.session(), id -> new ArrayDeque<>(2));
      ArrayDeque<Statement> later = new ArrayDeque<>(0);
      while (!own.isEmpty() && isLater(own.peekLast(), statement)) {
        // It was sent before and has come back: those that came after it stay behind it.
        later.push(own.pollLast());
        statement.setHoldPriority(Math.max(statement.holdPriority(), later.peek().holdPriority()));
      }
      if (!own.isEmpty()) {
        statement.setHoldPriority(
            Math.min(statement.holdPriority(), own.peekLast().holdPriority()));
        for (Statement behind : later) {
          order.remove(behind);
          behind.setHoldPriority(Math.min(behind.holdPriority(), statement.holdPriority()));
          order.add(behind);
        }
      }
      own.add(statement);
      own.addAll(later);
    }
    order.add(statement);
    if (statement.workloadIndex() >= ofWorkload.length) {
      // Settings may bring workloads while this group holds others.
      ofWorkload = Arrays.copyOf(ofWorkload, statement.workloadIndex() + 1);
    }
    ofWorkload[statement.workloadIndex()]++;
    bytes += statement.textBytes();
  }

  private static boolean isLater(Statement one, Statement other) {
    return one.receivedAt().isAfter(other.receivedAt())
        || (one.receivedAt().equals(other.receivedAt()) && one.id() > other.id());
  }

  public void remove(Statement statement) {
    if (!order.remove(statement)) {
      return;
    }
    ofWorkload[statement.workloadIndex()]--;
    bytes -= statement.textBytes();
    ArrayDeque<Statement> own = sessions.get(statement.session());
    if (own != null) {
      own.remove(statement);
      if (own.isEmpty()) {
        sessions.remove(statement.session());
      }
    }
  }
}
