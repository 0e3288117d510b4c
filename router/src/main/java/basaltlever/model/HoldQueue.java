package basaltlever.model;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeSet;

/**
 * The statements of one group that are held until its primary is available. They are ordered by
 * descending priority, then by arrival time; statements of one session keep their order of arrival.
 * Each operation takes time logarithmic in the number of statements.
 */
public final class HoldQueue {
  private static final Comparator<Statement> RELEASE_ORDER =
      Comparator.comparingDouble((Statement statement) -> -statement.holdPriority())
          .thenComparingLong(statement -> statement.receivedAt().micros())
          .thenComparingInt(statement -> statement.id());

  private final TreeSet<Statement> releaseOrder = new TreeSet<>(RELEASE_ORDER);

  /** Statements held for each session, the earliest first; a session usually has only one. */
  private final Map<Long, ArrayDeque<Statement>> heldBySession = new HashMap<>();

  private int[] sizeByWorkload;
  private long textBytes;

  public HoldQueue(int workloads) {
    sizeByWorkload = new int[workloads];
  }

  /** Returns whether no statement is held. */
  public boolean isEmpty() {
    return releaseOrder.isEmpty();
  }

  /** Returns the number of statements held. */
  public int size() {
    return releaseOrder.size();
  }

  /** Returns the total size in bytes of the texts of all statements held. */
  public long textBytes() {
    return textBytes;
  }

  /** Returns the number of statements held for one workload. */
  public int size(int workload) {
    return workload < sizeByWorkload.length ? sizeByWorkload[workload] : 0;
  }

  /** Returns the statements in the order of their release; the queue must not change meanwhile. */
  public Iterable<Statement> inReleaseOrder() {
    return Collections.unmodifiableSortedSet(releaseOrder);
  }

  /** Returns the statement to release first; null if the queue is empty. */
  public Statement first() {
    return releaseOrder.isEmpty() ? null : releaseOrder.first();
  }

  /**
   * Returns the statement to reject first if the budget is exceeded; null if the queue is empty.
   */
  public Statement last() {
    return releaseOrder.isEmpty() ? null : releaseOrder.last();
  }

  /** Returns the last statement of one workload; null if there is none. */
  public Statement last(int workload) {
    for (Iterator<Statement> iterator = releaseOrder.descendingIterator(); iterator.hasNext(); ) {
      Statement next = iterator.next();
      if (next.workloadIndex() == workload) {
        return next;
      }
    }
    return null;
  }

  /** Adds a statement. It never overtakes an earlier statement of its session. */
  public void add(Statement statement) {
    statement.setHoldPriority(statement.priority());
    if (statement.session() != 0) {
      ArrayDeque<Statement> sessionQueue =
          heldBySession.computeIfAbsent(statement.session(), id -> new ArrayDeque<>(2));
      ArrayDeque<Statement> later = new ArrayDeque<>(0);
      while (!sessionQueue.isEmpty() && arrivedLater(sessionQueue.peekLast(), statement)) {
        // The statement was sent before and is held again; statements of its session that arrived
        // later stay behind it.
        later.push(sessionQueue.pollLast());
        statement.setHoldPriority(Math.max(statement.holdPriority(), later.peek().holdPriority()));
      }
      if (!sessionQueue.isEmpty()) {
        statement.setHoldPriority(
            Math.min(statement.holdPriority(), sessionQueue.peekLast().holdPriority()));
        for (Statement laterStatement : later) {
          releaseOrder.remove(laterStatement);
          laterStatement.setHoldPriority(
              Math.min(laterStatement.holdPriority(), statement.holdPriority()));
          releaseOrder.add(laterStatement);
        }
      }
      sessionQueue.add(statement);
      sessionQueue.addAll(later);
    }
    releaseOrder.add(statement);
    if (statement.workloadIndex() >= sizeByWorkload.length) {
      // New settings may add workloads while this group holds statements.
      sizeByWorkload = Arrays.copyOf(sizeByWorkload, statement.workloadIndex() + 1);
    }
    sizeByWorkload[statement.workloadIndex()]++;
    textBytes += statement.textBytes();
  }

  /**
   * Moves a held statement back to its present priority. Later statements of its session stay
   * behind it.
   */
  public void lowerPriority(Statement statement) {
    changeHoldPriority(statement, statement.priority());
    boolean isLater = false;
    for (Statement other : heldBySession.getOrDefault(statement.session(), new ArrayDeque<>())) {
      if (isLater && other.holdPriority() > statement.holdPriority()) {
        changeHoldPriority(other, statement.holdPriority());
      }
      isLater |= other.id() == statement.id();
    }
  }

  private void changeHoldPriority(Statement statement, double priority) {
    if (releaseOrder.remove(statement)) {
      statement.setHoldPriority(priority);
      releaseOrder.add(statement);
    }
  }

  private static boolean arrivedLater(Statement one, Statement other) {
    return one.receivedAt().isAfter(other.receivedAt())
        || (one.receivedAt().equals(other.receivedAt()) && one.id() > other.id());
  }

  /** Removes a statement; has no effect if the statement is not held. */
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
