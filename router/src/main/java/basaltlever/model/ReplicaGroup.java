package basaltlever.model;

import basaltlever.gateway.DecisionSink;
import basaltlever.switchover.PlannedSwitchover;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** A group of one primary and its replicas, with the statements that wait for one of them. */
public final class ReplicaGroup {
  /** Whether the primary of the group is known. */
  public enum Phase {
    /** No endpoint is trusted to be primary; statements that need the primary are held. */
    HOLD,
    /** The primary is known. */
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
  private boolean evaluationPending;
  private boolean polledRegularly;
  private boolean hasResponded;

  /** Creates a group without endpoints, in its hold phase. */
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

  /** Returns the number that identifies the group in statements and in the endpoint list. */
  public int number() {
    return number;
  }

  /** Returns the endpoints of the group; callers must not modify the list. */
  public List<Endpoint> endpoints() {
    return endpoints;
  }

  /**
   * Returns the endpoints that have ever reported themselves primary; callers must not modify the
   * list.
   */
  public List<Endpoint> primaryReporters() {
    return primaryReporters;
  }

  /** Adds an endpoint. */
  public void addEndpoint(Endpoint endpoint) {
    endpoints.add(endpoint);
    if (endpoint.roles().hasReportedPrimary()) {
      primaryReporters.add(endpoint);
    }
  }

  /** Removes an endpoint. */
  public void removeEndpoint(Endpoint endpoint) {
    endpoints.remove(endpoint);
    primaryReporters.remove(endpoint);
    search.pendingEndpoints().remove(endpoint);
    subset.markStale();
  }

  /** Adds an endpoint that reported itself primary for the first time. */
  public void addPrimaryReporter(Endpoint endpoint) {
    primaryReporters.add(endpoint);
  }

  /** Returns the statements that are held until a primary is known and has capacity. */
  public HoldQueue heldStatements() {
    return heldStatements;
  }

  /** Returns the reads that wait for capacity or for a replica to reach their position. */
  public PriorityQueue<Statement> waitingReads() {
    return waitingReads;
  }

  /** Returns the planned switchover that the endpoints of the group announce. */
  public PlannedSwitchover switchover() {
    return switchover;
  }

  /** Returns the state of the search for the primary. */
  public PrimarySearchState search() {
    return search;
  }

  /** Returns the subset of endpoints that reads are sent to if the group is large. */
  public SubsetState subset() {
    return subset;
  }

  /** Returns the phase of the group. */
  public Phase phase() {
    return phase;
  }

  /** Returns the start time of the latest hold phase. */
  public Moment holdSince() {
    return holdSince;
  }

  /** Returns the time at which a primary was last found. */
  public Moment primaryFoundAt() {
    return primaryFoundAt;
  }

  /** Returns the primary; null if none is known. */
  public Endpoint primary() {
    return primary;
  }

  /** Returns the primary that was lost; null once a primary is known. */
  public Endpoint lostPrimary() {
    return lostPrimary;
  }

  /** Starts the hold phase because the primary is no longer trusted. */
  public void markPrimaryLost(Moment now) {
    phase = Phase.HOLD;
    holdSince = now;
    lostPrimary = primary;
    primary = null;
    search.onPrimaryLost();
  }

  /** Sets the endpoint that is trusted to be primary and ends the hold phase. */
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

  /** Returns the maximum age on arrival of recent load reports. */
  public Span maxReportAge() {
    return maxReportAge;
  }

  /** Sets the maximum age on arrival of recent load reports. */
  public void setMaxReportAge(Span age) {
    maxReportAge = age;
  }

  /** Returns the recent rate of statements per second. */
  public DecayingValue statementRate() {
    return statementRate;
  }

  /** Returns whether the group is queued for evaluation. */
  public boolean isEvaluationPending() {
    return evaluationPending;
  }

  /** Sets whether the group is queued for evaluation. */
  public void setEvaluationPending(boolean pending) {
    evaluationPending = pending;
  }

  /**
   * Returns whether the endpoints of the group are polled continuously, not only on demand of a
   * statement.
   */
  public boolean isPolledRegularly() {
    return polledRegularly;
  }

  /** Sets whether the endpoints of the group are polled continuously. */
  public void setPolledRegularly(boolean regularly) {
    polledRegularly = regularly;
  }

  /** Returns whether any endpoint of the group has ever responded. */
  public boolean hasResponded() {
    return hasResponded;
  }

  /** Records that an endpoint of the group has responded. */
  public void recordResponse() {
    hasResponded = true;
  }
}
