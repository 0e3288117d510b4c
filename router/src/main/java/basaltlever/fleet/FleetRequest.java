package basaltlever.fleet;

import basaltlever.membership.HeartbeatReport;
import java.util.List;

/** A request to a voter, from a router of the fleet, another voter or an operator's command. */
public sealed interface FleetRequest {
  /** The name of the fleet that the sender takes the voter to be part of. */
  String fleet();

  /**
   * A router's request for a lease.
   *
   * @param router name of the router
   * @param incarnation of the router's process
   * @param number of the heartbeat, counted by the router
   * @param inForce number of the version that the router has in force
   * @param acknowledged number of the prepared version that the router keeps to
   * @param rejected number of the version that the router can't keep to; 0 where there is none
   * @param rejectionReason why it can't
   * @param holdsLease whether the router held a lease when it sent this
   * @param membershipReport what the router's endpoint list says
   * @param epoch the latest configuration epoch that the router has learned of
   * @param voterFolderId id of the voter folder of this instance; empty where it doesn't vote
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
   * @param basis number of the version in force from which the text was made
   * @param text the settings as JSON
   */
  record Propose(String fleet, long basis, String text, String proposer, String reason)
      implements FleetRequest {}

  /** Adds a voter, or removes it. */
  record ChangeVoters(String fleet, String voter, boolean add) implements FleetRequest {}

  /**
   * Starts a configuration epoch without the lost majority.
   *
   * @param epoch number of the new epoch
   * @param endedVoters voters whose processes have been ended
   */
  record Recover(String fleet, long epoch, List<String> endedVoters, String proposer, String reason)
      implements FleetRequest {}

  /**
   * Asks for a {@link StatusReport}.
   *
   * @param router name of the instance that asks; empty for an operator's command
   */
  record Status(String fleet, String requester) implements FleetRequest {}

  /** A request that this release doesn't know. */
  record Unknown(String fleet) implements FleetRequest {}
}
