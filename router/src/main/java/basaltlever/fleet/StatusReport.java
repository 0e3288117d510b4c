package basaltlever.fleet;

import basaltlever.membership.GroupAssignment;
import basaltlever.settings.SettingsVersion;
import java.util.List;

/**
 * The status of a voter.
 *
 * @param isLeader whether the voter leads
 * @param raftStatus Raft role and progress of the voter, or the reason why it doesn't vote
 * @param epoch configuration epoch in which the voter votes
 * @param voters the voters of that epoch, by this voter's log; empty while it doesn't vote
 * @param hasUnusedFolder whether the voter's folder has never been used to vote
 * @param changeCount change count of the voter's register
 * @param inForce the version in force
 * @param prepared the version that is being brought into force; null if there is none
 * @param history the most recent versions, oldest first
 * @param routers the routers from which the leader has received heartbeats
 * @param forks contradictory endpoint lists
 * @param era era in which generations of endpoint lists are counted
 * @param assignmentChangeNumber number of the latest change of an assignment
 * @param pendingAssignments group assignments of endpoints that are being moved to another group
 * @param requesterFolderId id of the voter folder recorded for the requester; empty if there is
 *     none
 */
public record StatusReport(
    boolean isLeader,
    String raftStatus,
    long epoch,
    List<String> voters,
    boolean hasUnusedFolder,
    long changeCount,
    SettingsVersion inForce,
    SettingsVersion prepared,
    List<VersionStatus> history,
    List<RouterStatus> routers,
    List<ForkStatus> forks,
    long era,
    long assignmentChangeNumber,
    List<GroupAssignment> pendingAssignments,
    String requesterFolderId)
    implements FleetReply.StateReply {
  /**
   * The outcome of one settings version.
   *
   * @param outcome name of a {@link basaltlever.settings.VersionRegister.VersionOutcome}
   * @param reason why the version was rejected or withdrawn; empty if it was not
   */
  public record VersionStatus(SentVersion version, String outcome, String reason) {}

  /**
   * The state of one router as known to the leader.
   *
   * @param incarnation incarnation of the router's process
   * @param leaseMillis remaining duration of the router's lease
   * @param millisSinceHeartbeat time since its last heartbeat arrived
   * @param inForce number of the version that the router has in force
   * @param acknowledged number of the prepared version that the router complies with
   * @param rejectionReason why the router can't comply with a version; empty if it can
   * @param generation generation of its endpoint list
   * @param digest digest of its endpoint list, in hexadecimal
   * @param listState agreement of its endpoint list with those of the other routers, or its anomaly
   */
  public record RouterStatus(
      String name,
      long incarnation,
      long leaseMillis,
      long millisSinceHeartbeat,
      long inForce,
      long acknowledged,
      String rejectionReason,
      long generation,
      String digest,
      String listState) {}

  /**
   * Different endpoint lists of the same generation.
   *
   * @param holders the routers that have each of the lists
   */
  public record ForkStatus(long generation, List<List<String>> holders) {}
}
