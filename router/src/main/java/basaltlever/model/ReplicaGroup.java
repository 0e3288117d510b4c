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
  /** Whether a member is trusted to be primary. */
  public enum Phase {
    /** No member is trusted to be primary; what needs one waits. */
    HOLD,
    /** A primary is known. */
    STEADY
  }

  private final int number;
  private final List<Endpoint> endpoints = new ArrayList<>();
  private final List<Endpoint> primaryReporters = new ArrayList<>();
  private final HoldQueue heldStatements;
  private final PriorityQueue<Statement> waitingReads;
  private final PlannedSwitchover switchover;
  private final PrimarySearchState search = new PrimarySearchState();
  private final SubsetState subset = new SubsetState();

  private Phase phase = Phase.HOLD;
  private Moment holdSince;
  private Moment primaryFoundAt = Moment.LONG_AGO;
  private Endpoint primary;
  private Endpoint lostPrimary;
  private Span maxReportAge;
  private final DecayingValue statementRate = new DecayingValue();
  private final DecayingValue replicaCongestion = new DecayingValue();
  private final DecayingValue primaryCongestion = new DecayingValue();
  private boolean evaluationPending;
  private boolean polledRegularly;
  private boolean hasResponded;

  /** A group without members, in its hold phase. */
  public ReplicaGroup(
      int number,
      Moment now,
      Span maxReportAge,
      Comparator<Statement> readOrder,
      HoldQueue heldStatements,
      DecisionSink sink) {
    this.number = number;
    switchover =
        new PlannedSwitchover(
            (entered, target) -> sink.onSwitchoverPhaseChanged(number, entered, target));
    this.heldStatements = heldStatements;
    this.waitingReads = new PriorityQueue<>(readOrder);
    this.holdSince = now;
    this.maxReportAge = maxReportAge;
  }

  /** The number by which statements and the endpoint list name it. */
  public int number() {
    return number;
  }

  /** Its members, to be read only. */
  public List<Endpoint> endpoints() {
    return endpoints;
  }

  /** Members that reported themselves primary at some time, to be read only. */
  public List<Endpoint> primaryReporters() {
    return primaryReporters;
  }

  /** Adds a member. */
  public void addEndpoint(Endpoint endpoint) {
    endpoints.add(endpoint);
    if (endpoint.roles().hasReportedPrimary()) {
      primaryReporters.add(endpoint);
    }
  }

  /** Removes a member. */
  public void removeEndpoint(Endpoint endpoint) {
    endpoints.remove(endpoint);
    primaryReporters.remove(endpoint);
    search.pendingEndpoints().remove(endpoint);
    subset.markStale();
  }

  /** A member reports itself primary for the first time. */
  public void addPrimaryReporter(Endpoint endpoint) {
    primaryReporters.add(endpoint);
  }

  /** Statements held until a primary is known and has capacity. */
  public HoldQueue heldStatements() {
    return heldStatements;
  }

  /** Reads that wait for capacity or for a position. */
  public PriorityQueue<Statement> waitingReads() {
    return waitingReads;
  }

  /** The planned switchover that its members announce. */
  public PlannedSwitchover switchover() {
    return switchover;
  }

  /** The search for its primary. */
  public PrimarySearchState search() {
    return search;
  }

  /** The members that reads go to, where the group is large. */
  public SubsetState subset() {
    return subset;
  }

  /** Whether a primary is known. */
  public Phase phase() {
    return phase;
  }

  /** Since when no primary is known. */
  public Moment holdSince() {
    return holdSince;
  }

  /** When a primary was last found. */
  public Moment primaryFoundAt() {
    return primaryFoundAt;
  }

  /** The primary; null where none is known. */
  public Endpoint primary() {
    return primary;
  }

  /** The primary that was lost; null once one is known. */
  public Endpoint lostPrimary() {
    return lostPrimary;
  }

  /** The primary is no longer trusted: the hold phase begins. */
  public void markPrimaryLost(Moment now) {
    phase = Phase.HOLD;
    holdSince = now;
    lostPrimary = primary;
    primary = null;
    search.onPrimaryLost();
  }

  /** A member is trusted to be primary from now on. */
  public void setPrimary(Endpoint found, Moment now) {
    Endpoint former = primary != null ? primary : lostPrimary;
    if (former != null) {
      former.roles().recordReplaced();
    }
    phase = Phase.STEADY;
    primaryFoundAt = now;
    search.onPrimaryFound();
    primary = found;
    found.roles().clearReplaced();
    lostPrimary = null;
  }

  /** How old load reports have recently been on arrival, at most. */
  public Span maxReportAge() {
    return maxReportAge;
  }

  /** Sets how old load reports are at most. */
  public void setMaxReportAge(Span age) {
    maxReportAge = age;
  }

  /** Recent statements a second. */
  public DecayingValue statementRate() {
    return statementRate;
  }

  /** Share of reads that busy replicas recently answered late or not at all. */
  public DecayingValue replicaCongestion() {
    return replicaCongestion;
  }

  /** Share of reads that a busy primary recently answered late or not at all. */
  public DecayingValue primaryCongestion() {
    return primaryCongestion;
  }

  /** Whether it is to be evaluated again. */
  public boolean isEvaluationPending() {
    return evaluationPending;
  }

  /** Sets whether it is to be evaluated again. */
  public void setEvaluationPending(boolean pending) {
    evaluationPending = pending;
  }

  /** Whether its members are polled all the time, not only when a statement needs it. */
  public boolean isPolledRegularly() {
    return polledRegularly;
  }

  /** Sets whether its members are polled all the time. */
  public void setPolledRegularly(boolean regularly) {
    polledRegularly = regularly;
  }

  /** Whether some member has ever answered anything. */
  public boolean hasResponded() {
    return hasResponded;
  }

  /** Some member has answered something. */
  public void recordResponse() {
    hasResponded = true;
  }
}
