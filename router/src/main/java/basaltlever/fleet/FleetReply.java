package basaltlever.fleet;

import basaltlever.membership.MembershipUpdate;
import basaltlever.time.Span;
import java.util.List;

/** A voter's answer to a {@link FleetRequest}. */
public sealed interface FleetReply permits FleetReply.CommandReply, FleetReply.LeaderReply {
  /** What became of a request that changes something, or that was rejected. */
  sealed interface CommandReply extends FleetReply {}

  /** What only a voter tells of itself or as the leader. */
  sealed interface LeaderReply extends FleetReply
      permits LeaseGranted, NotLeader, Retiring, StatusReport {}

  /**
   * The leader's answer to a heartbeat.
   *
   * @param heartbeat number of the heartbeat
   * @param duration of the lease from the sending of the heartbeat on; none where it is not granted
   * @param changeCount of the register, by which a router tells an outdated leader
   * @param voters the voters
   * @param inForce the version in force
   * @param prepared the version that is being brought into force; null where there is none
   * @param membershipUpdate what the fleet agreed on about endpoints; null from a leader that says
   *     nothing
   */
  record LeaseGranted(
      long heartbeat,
      Span duration,
      long changeCount,
      List<String> voters,
      SentVersion inForce,
      SentVersion prepared,
      MembershipUpdate membershipUpdate)
      implements LeaderReply {}

  /**
   * The voter doesn't lead.
   *
   * @param leader name of the voter that leads; empty where it is not known
   */
  record NotLeader(String leader) implements LeaderReply {}

  /** The voter has just learned of a newer epoch; read as {@link NotLeader}. */
  record Retiring() implements LeaderReply {}

  /** The request was carried out. */
  record Accepted() implements CommandReply {}

  /** The request was rejected. */
  record Rejected(String reason) implements CommandReply {}

  /** No majority answered in time, so the outcome is not known. */
  record Undecided(String reason) implements CommandReply {}

  /** A reply that this release doesn't know. */
  record Unknown(String kind, String reason) implements CommandReply {}
}
