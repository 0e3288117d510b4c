package basaltlever.model;

import basaltlever.change.Change;
import basaltlever.gateway.Outbound;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** One primary and its replicas, and the statements that wait for one of them. */
public final class Group {
  /** HOLD: no member is trusted to be primary, and what needs one waits. */
  public enum Phase {
    HOLD,
    STEADY
  }

  public final int number;
  public final List<Node> members = new ArrayList<>();
  public final Held held;

  /** Reads that wait for room or a position. */
  public final PriorityQueue<Statement> waiting;

  /** What its members announce. */
  public final Change change;

  public Phase phase = Phase.HOLD;
  public Moment holdSince;

  /** When it last found a primary. */
  public Moment foundAt = Moment.LONG_AGO;

  public Node primary;
  public Node lost;

  /** How old reports have lately been on arrival, at most. */
  public Span reportAge;

  /** Statements a second, lately. */
  public final Fading rate = new Fading();

  /** Share of reads that busy replicas, or a busy primary, answered late or not at all, lately. */
  public final Fading jam = new Fading();

  public final Fading primaryJam = new Fading();
  public boolean changed;

  /** Its members are polled all the time, not only when a statement needs it. */
  public boolean watched;

  /**
   * Of a large group: the members that reads go to, kept by {@code endpoints.ReplicaSubset}; null
   * before the first.
   */
  public List<Node> subset;

  public Moment subsetAt = Moment.LONG_AGO;
  public boolean subsetStale = true;

  /** By how many members the subset was widened, and when last. */
  public int subsetExtra;

  public Moment widenedAt = Moment.LONG_AGO;

  /**
   * Of a search for the primary: members asked that have not answered, the next one's place, when
   * its round began.
   */
  public final List<Node> searching = new ArrayList<>();

  public int searchCursor;

  /** Rounds that have found none since a primary was known. */
  public int searchRounds;

  public Moment searchFrom = Moment.LONG_AGO;

  /** Members that have claimed to be primary at some time. */
  public final List<Node> claimants = new ArrayList<>();

  /** Some member has answered something. */
  public boolean heard;

  public Group(
      int number,
      Moment now,
      Span reportAge,
      Comparator<Statement> order,
      Held held,
      Outbound outbound) {
    this.number = number;
    change = new Change((phase, target) -> outbound.change(number, phase, target));
    this.held = held;
    this.waiting = new PriorityQueue<>(order);
    this.holdSince = now;
    this.reportAge = reportAge;
  }
}
