package basaltlever.model;

import basaltlever.gateway.EndpointLifecycle;
import basaltlever.time.Moment;

/** All that this router holds of one node. */
public final class Endpoint {
  public final int id;
  public ReplicaGroup group;
  public int zone;
  public double size = 1;
  public EndpointLifecycle listing = EndpointLifecycle.GONE;
  public boolean drainSeen;

  /** Replaced as primary, and has not said since that it is a replica. */
  public boolean deposed;

  public int listedIn;

  /** By which all routers order the members of a group alike. */
  public int rank;

  /** It was sent a statement. */
  public boolean triedFirst;

  /** It has answered something, if only a poll. */
  public boolean heard;

  /** The latest moments at which it is known to have been primary, and not to have been. */
  public Moment claimed = Moment.LONG_AGO;

  public Moment denied = Moment.LONG_AGO;

  /** All commits up to here are in its data: proven, never guessed. */
  public Moment position = Moment.LONG_AGO;

  public double util;

  /**
   * Its latest report told how busy its cores are: a switch of settings changes what reports hold.
   */
  public boolean tellsCores;

  /** When it is to be polled next; never where nothing asks for it. */
  public Moment pollDue = Moment.NEVER;

  /** When its next poll is due, or the one under way is missed: kept by the schedule of polls. */
  public Moment pollWake = Moment.NEVER;

  public Moment pollSent = Moment.LONG_AGO;
  public boolean pollOut;
  public int pollMisses;

  public int out;

  /** Since when it owes an answer without having given any. */
  public Moment owesSince = Moment.NEVER;

  /** Open connections that carry nothing, and when one was last seen to be open. */
  public int idle;

  public Moment usedAt = Moment.LONG_AGO;

  /** When it last refused a connection at once. */
  public Moment refusedAt = Moment.LONG_AGO;

  public boolean silent;

  /** Statements sent to it in vain to see whether the silence is over. */
  public int trials;

  public Moment triedAt = Moment.LONG_AGO;
  public boolean down;
  public Moment downSince = Moment.NEVER;

  /** Response time over SLO time lately, less what is usual. */
  public final DecayingValue strained = new DecayingValue();

  /** How many executions this router may have out here. */
  public double room;

  public Moment cutAt = Moment.LONG_AGO;
  public int fullInRow;
  public Moment restsUntil = Moment.LONG_AGO;

  /** Executions given up on that may still take up the node, fading. */
  public final DecayingValue ghosts = new DecayingValue();

  /** How often it lost or failed what it was given, lately. */
  public final DecayingValue failing = new DecayingValue();

  /** How far behind it was when last seen; a guess, never proof. */
  public final DecayingValue lag = new DecayingValue();

  public Moment silentSince = Moment.LONG_AGO;

  /** As the list tells it, and as the router itself saw it where that is later. */
  public Moment listedStart = Moment.LONG_AGO;

  public Moment startedAt = Moment.LONG_AGO;

  /** Work that it answered for this router, lately. */
  public final DecayingValue borne = new DecayingValue();

  public double coldWork;

  /** Since its last start this router has sent it nothing. */
  public boolean coldUntried;

  public Moment coldAt = Moment.LONG_AGO;

  /** In service as the list has it. */
  public boolean isInService() {
    return listing == EndpointLifecycle.READY;
  }

  /** This router has polled it or sent it something. */
  public boolean wasContacted() {
    return pollSent.isAfter(Moment.LONG_AGO) || triedFirst;
  }

  public Endpoint(int id, double room) {
    this.id = id;
    rank = id;
    this.room = room;
  }
}
