package basaltlever.model;

import basaltlever.gateway.DecisionSink;
import basaltlever.switchover.PlannedSwitchover;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** One primary and its replicas, and the statements that wait for one of them. */
public final class ReplicaGroup {
  /** HOLD: no member is trusted to be primary, and what needs one waits. */
  public enum Phase {
    HOLD,
    STEADY
  }

  public final int number;
  public final List<Endpoint> members = new ArrayList<>();
  public final HoldQueue held;

  /** Reads that wait for room or a position. */
  public final PriorityQueue<Statement> waitingReads;

  /** What its members announce. */
  public final PlannedSwitchover switchover;

  public Phase phase = Phase.HOLD;
  public Moment holdSince;

  /** When it last found a primary. */
  public Moment primaryFoundAt = Moment.LONG_AGO;

  public Endpoint primary;
  public Endpoint lostPrimary;

  /** How old reports have lately been on arrival, at most. */
  public Span maxReportAge;

  /** Statements a second, lately. */
  public final DecayingValue statementRate = new DecayingValue();

  /** Share of reads that busy replicas, or a busy primary, answered late or not at all, lately. */
  public final DecayingValue replicaCongestion = new DecayingValue();

  public final DecayingValue primaryCongestion = new DecayingValue();
  public boolean evaluationPending;

  /** Its members are polled all the time, not only when a statement needs it. */
  public boolean polledRegularly;

  /**
   * Of a large group: the members that reads go to, kept by {@code endpoints.ReplicaSubset}; null
   * before the first.
   */
  public List<Endpoint> subset;

  public Moment subsetAt = Moment.LONG_AGO;
  public boolean subsetStale = true;

  /** By how many members the subset was widened, and when last. */
  public int subsetExtraMembers;

  public Moment subsetWidenedAt = Moment.LONG_AGO;

  /**
   * Of a search for the primary: members asked that have not answered, the next one's place, when
   * its round began.
   */
  public final List<Endpoint> searchPolls = new ArrayList<>();

  public int searchCursor;

  /** Rounds that have found none since a primary was known. */
  public int searchRounds;

  public Moment searchRoundStartedAt = Moment.LONG_AGO;

  /** Members that have claimed to be primary at some time. */
  public final List<Endpoint> primaryReporters = new ArrayList<>();

  /** Some member has answered something. */
  public boolean hasAnswered;

  public ReplicaGroup(
      int number,
      Moment now,
      Span reportAge,
      Comparator<Statement> order,
      HoldQueue held,
      DecisionSink outbound) {
    this.number = number;
    switchover = new PlannedSwitchover((phase, target) -> outbound.change(number, phase, target));
    this.held = held;
    this.waitingReads = new PriorityQueue<>(order);
    this.holdSince = now;
    this.maxReportAge = reportAge;
  }
}
