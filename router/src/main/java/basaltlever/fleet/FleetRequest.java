package basaltlever.fleet;

import basaltlever.membership.HeartbeatReport;
import java.util.List;

/** A request to a voter from a router of the fleet, another voter or an operator's command. */
public sealed interface FleetRequest {
  /** Returns the name of the fleet to which the sender expects the voter to belong. */
  String fleet();

  /**
   * A router's request for a lease.
   *
   * @param router name of the router
   * @param incarnation incarnation of the router's process
   * @param number sequence number of the heartbeat within that process
   * @param inForce number of the version that the router has in force
   * @param acknowledged number of the prepared version that the router complies with
   * @param rejected number of the version that the router can't comply with; 0 if there is none
   * @param rejectionReason why it can't; empty if it rejects nothing
   * @param holdsLease whether the router held a lease when it sent the heartbeat
   * @param membershipReport state of the router's endpoint list
   * @param epoch latest configuration epoch that the router has learned of
   * @param voterFolderId id of the voter folder of this instance; empty if it doesn't vote
   */
  record Heartbeat(
      String fleet,
      String router,
      long incarnation,
      long number,
      long inForce,
      long acknowledged,
      long rejected,
      String rejectionReason,
      boolean holdsLease,
      HeartbeatReport membershipReport,
      long epoch,
      String voterFolderId)
      implements FleetRequest {}

  /**
   * A proposal of settings.
   *
   * @param basis number of the version in force on which the text is based
   * @param text the settings as JSON
   */
  record Propose(String fleet, long basis, String text, String proposer, String reason)
      implements FleetRequest {}

  /** Adds or removes a voter. */
  record ChangeVoters(String fleet, String voter, boolean add) implements FleetRequest {}

  /**
   * Starts a configuration epoch after the majority of the voters was lost.
   *
   * @param epoch number of the new epoch
   * @param endedVoters voters whose processes the operator has ended
   */
  record Recover(String fleet, long epoch, List<String> endedVoters, String proposer, String reason)
      implements FleetRequest {}

  /**
   * Requests a {@link StatusReport}.
   *
   * @param requester name of the requesting instance; empty for an operator's command
   */
  record Status(String fleet, String requester) implements FleetRequest {}

  /** A request of a kind that this release doesn't support. */
  record Unknown(String fleet) implements FleetRequest {}
}
