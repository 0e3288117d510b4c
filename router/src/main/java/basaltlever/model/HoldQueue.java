package basaltlever.model;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeSet;

/**
 * The statements of one group that wait for its primary: the highest priority weight first, among
 * equals the earliest, and those of one session always in the order in which they came. Each step
 * costs the logarithm of how many there are.
 */
public final class HoldQueue {
  private static final Comparator<Statement> RELEASE_ORDER =
      Comparator.comparingDouble((Statement statement) -> -statement.holdPriority())
          .thenComparingLong(statement -> statement.receivedAt().micros())
          .thenComparingInt(statement -> statement.id());

  private final TreeSet<Statement> releaseOrder = new TreeSet<>(RELEASE_ORDER);

  /** Of each session those that are held, the earliest first; a session commonly has one. */
  private final Map<Long, ArrayDeque<Statement>> heldBySession = new HashMap<>();

  private int[] sizeByWorkload;
  private long textBytes;

  public HoldQueue(int workloads) {
    sizeByWorkload = new int[workloads];
  }

  /** Whether no statement is held. */
  public boolean isEmpty() {
    return releaseOrder.isEmpty();
  }

  /** Statements held. */
  public int size() {
    return releaseOrder.size();
  }

  /** Bytes of the texts of all statements held. */
  public long textBytes() {
    return textBytes;
  }

  /** Statements held of one workload. */
  public int size(int workload) {
    return workload < sizeByWorkload.length ? sizeByWorkload[workload] : 0;
  }

  /** The statement to release first; null where there is none. */
  public Statement first() {
    return releaseOrder.isEmpty() ? null : releaseOrder.first();
  }

  /** The statement to reject where the budget is exceeded; null where there is none. */
  public Statement last() {
    return releaseOrder.isEmpty() ? null : releaseOrder.last();
  }

  /** The last statement of one workload; null where there is none. */
  public Statement last(int workload) {
    for (Iterator<Statement> iterator = releaseOrder.descendingIterator(); iterator.hasNext(); ) {
      Statement next = iterator.next();
      if (next.workloadIndex() == workload) {
        return next;
      }
    }
    return null;
  }

  /** Holds a statement. It never overtakes an earlier one of its session. */
  public void add(Statement statement) {
    statement.setHoldPriority(statement.workload().priorityWeight());
    if (statement.session() != 0) {
      ArrayDeque<Statement> sessionQueue =
          heldBySession.computeIfAbsent(statement.session(), id -> new ArrayDeque<>(2));
      ArrayDeque<Statement> later = new ArrayDeque<>(0);
      while (!sessionQueue.isEmpty() && isLater(sessionQueue.peekLast(), statement)) {
        // It was sent before and has come back: those that came after it stay behind it.
        later.push(sessionQueue.pollLast());
        statement.setHoldPriority(Math.max(statement.holdPriority(), later.peek().holdPriority()));
      }
      if (!sessionQueue.isEmpty()) {
        statement.setHoldPriority(
            Math.min(statement.holdPriority(), sessionQueue.peekLast().holdPriority()));
        for (Statement behind : later) {
          releaseOrder.remove(behind);
          behind.setHoldPriority(Math.min(behind.holdPriority(), statement.holdPriority()));
          releaseOrder.add(behind);
        }
      }
      sessionQueue.add(statement);
      sessionQueue.addAll(later);
    }
    releaseOrder.add(statement);
    if (statement.workloadIndex() >= sizeByWorkload.length) {
      // Settings may bring workloads while this group holds others.
      sizeByWorkload = Arrays.copyOf(sizeByWorkload, statement.workloadIndex() + 1);
    }
    sizeByWorkload[statement.workloadIndex()]++;
    textBytes += statement.textBytes();
  }

  private static boolean isLater(Statement one, Statement other) {
    return one.receivedAt().isAfter(other.receivedAt())
        || (one.receivedAt().equals(other.receivedAt()) && one.id() > other.id());
  }

  /** Removes a statement; no effect where it is not held. */
  public void remove(Statement statement) {
    if (!releaseOrder.remove(statement)) {
      return;
    }
    sizeByWorkload[statement.workloadIndex()]--;
    textBytes -= statement.textBytes();
    ArrayDeque<Statement> sessionQueue = heldBySession.get(statement.session());
    if (sessionQueue != null) {
      sessionQueue.remove(statement);
      if (sessionQueue.isEmpty()) {
        heldBySession.remove(statement.session());
      }
    }
  }
}
