package basaltlever.fleet;

import basaltlever.membership.MembershipUpdate;
import basaltlever.time.Span;
import java.util.List;

/** A voter's reply to a {@link FleetRequest}. */
public sealed interface FleetReply permits FleetReply.CommandReply, FleetReply.StateReply {
  /** The outcome of a request for a change, or the rejection of any request. */
  sealed interface CommandReply extends FleetReply {}

  /** A reply about the voter itself or about the leader's state. */
  sealed interface StateReply extends FleetReply
      permits LeaseGranted, NotLeader, Retiring, StatusReport {}

  /**
   * The leader's reply to a heartbeat.
   *
   * @param heartbeat number of the heartbeat that it answers
   * @param duration duration of the lease, from the sending of the heartbeat; zero if no lease is
   *     granted
   * @param changeCount change count of the leader's register, by which a router detects an outdated
   *     leader
   * @param voters the current voters
   * @param inForce the version in force
   * @param prepared the version that is being brought into force; null if there is none
   * @param membershipUpdate the fleet's agreement about endpoints; null if the leader sent none
   */
  record LeaseGranted(
      long heartbeat,
      Span duration,
      long changeCount,
      List<String> voters,
      SentVersion inForce,
      SentVersion prepared,
      MembershipUpdate membershipUpdate)
      implements StateReply {}

  /**
   * The voter is not the leader.
   *
   * @param leader name of the leader; empty if it is not known
   */
  record NotLeader(String leader) implements StateReply {}

  /** The voter retires because of a newer epoch; receivers decode it as {@link NotLeader}. */
  record Retiring() implements StateReply {}

  /** The request was carried out. */
  record Accepted() implements CommandReply {}

  /** The request was rejected. */
  record Rejected(String reason) implements CommandReply {}

  /** The outcome is unknown, because no majority answered in time. */
  record Undecided(String reason) implements CommandReply {}

  /** A reply of a kind that this release doesn't support. */
  record Unknown(String kind, String reason) implements CommandReply {}
}
