package basaltlever.model;

import basaltlever.gateway.EndpointLifecycle;
import basaltlever.time.Moment;

/** All that this router holds of one node. */
public final class Endpoint {
  public final int id;
  public ReplicaGroup group;
  public int zone;
  public double size = 1;
  public EndpointLifecycle lifecycle = EndpointLifecycle.GONE;
  public boolean wasDraining;

  /** Replaced as primary, and has not said since that it is a replica. */
  public boolean deposed;

  public int listGeneration;

  /** By which all routers order the members of a group alike. */
  public int ringOrder;

  /** It was sent a statement. */
  public boolean wasSentStatement;

  /** It has answered something, if only a poll. */
  public boolean hasAnswered;

  /** The latest moments at which it is known to have been primary, and not to have been. */
  public Moment lastPrimaryReportAt = Moment.LONG_AGO;

  public Moment lastNotPrimaryReportAt = Moment.LONG_AGO;

  /** All commits up to here are in its data: proven, never guessed. */
  public Moment provenPosition = Moment.LONG_AGO;

  public double cpuUtilization;

  /**
   * Its latest report told how busy its cores are: a switch of settings changes what reports hold.
   */
  public boolean reportsCpu;

  /** When it is to be polled next; never where nothing asks for it. */
  public Moment nextPollAt = Moment.NEVER;

  /** When its next poll is due, or the one under way is missed: kept by the schedule of polls. */
  public Moment pollWakeAt = Moment.NEVER;

  public Moment pollSentAt = Moment.LONG_AGO;
  public boolean pollInFlight;
  public int missedPolls;

  public int inFlight;

  /** Since when it owes an answer without having given any. */
  public Moment unansweredSince = Moment.NEVER;

  /** Open connections that carry nothing, and when one was last seen to be open. */
  public int idleConnections;

  public Moment lastAnswerAt = Moment.LONG_AGO;

  /** When it last refused a connection at once. */
  public Moment connectionRefusedAt = Moment.LONG_AGO;

  public boolean silent;

  /** Statements sent to it in vain to see whether the silence is over. */
  public int silenceTrials;

  public Moment lastTrialAt = Moment.LONG_AGO;
  public boolean down;
  public Moment downSince = Moment.NEVER;

  /** Response time over SLO time lately, less what is usual. */
  public final DecayingValue latencyStrain = new DecayingValue();

  /** How many executions this router may have out here. */
  public double capacity;

  public Moment capacityReducedAt = Moment.LONG_AGO;
  public int consecutiveFullAnswers;
  public Moment backoffUntil = Moment.LONG_AGO;

  /** Executions given up on that may still take up the node, fading. */
  public final DecayingValue abandonedAttempts = new DecayingValue();

  /** How often it lost or failed what it was given, lately. */
  public final DecayingValue failureRate = new DecayingValue();

  /** How far behind it was when last seen; a guess, never proof. */
  public final DecayingValue estimatedLag = new DecayingValue();

  public Moment silentSince = Moment.LONG_AGO;

  /** As the list tells it, and as the router itself saw it where that is later. */
  public Moment listedStart = Moment.LONG_AGO;

  public Moment startedAt = Moment.LONG_AGO;

  /** Work that it answered for this router, lately. */
  public final DecayingValue answeredWork = new DecayingValue();

  public double warmUpWork;

  /** Since its last start this router has sent it nothing. */
  public boolean unusedSinceStart;

  public Moment warmUpWorkAt = Moment.LONG_AGO;

  /** In service as the list has it. */
  public boolean isInService() {
    return lifecycle == EndpointLifecycle.READY;
  }

  /** This router has polled it or sent it something. */
  public boolean wasContacted() {
    return pollSentAt.isAfter(Moment.LONG_AGO) || wasSentStatement;
  }

  public Endpoint(int id, double room) {
    this.id = id;
    ringOrder = id;
    this.capacity = room;
  }
}
