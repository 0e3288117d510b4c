package basaltlever.fleet;

import basaltlever.membership.GroupAssignment;
import basaltlever.settings.SettingsVersion;
import java.util.List;

/**
 * A voter's status.
 *
 * @param isLeader whether it leads
 * @param raftStatus its Raft role and progress, or why it doesn't vote
 * @param epoch the configuration epoch under which it votes
 * @param voters the voters that it knows; empty while it doesn't vote
 * @param hasUnusedFolder whether its folder has never been used to vote
 * @param changeCount how many commands made its register what it is
 * @param inForce the version in force
 * @param prepared the version that is being brought into force; null where there is none
 * @param history the latest versions, oldest first
 * @param routers the routers that the leader has heard from
 * @param forks endpoint lists that contradict each other
 * @param era in which generations of endpoint lists are counted
 * @param assignmentChangeNumber counts up with each change of an assignment
 * @param pendingAssignments endpoints that are being moved to another group
 * @param requesterFolderId id of the folder by which the instance that asks has voted; else empty
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
    implements FleetReply.LeaderReply {
  /**
   * What became of one version.
   *
   * @param outcome name of a {@link basaltlever.settings.VersionRegister.VersionOutcome}
   * @param reason why it was not taken; else empty
   */
  public record VersionStatus(SentVersion version, String outcome, String reason) {}

  /**
   * One router as the leader sees it.
   *
   * @param incarnation of its process
   * @param leaseMillis what is left of its lease
   * @param millisSinceHeartbeat when its last heartbeat came
   * @param inForce number of the version that it has in force
   * @param acknowledged number of the prepared version that it keeps to
   * @param rejectionReason why it can't keep to a version; else empty
   * @param generation of its endpoint list
   * @param digest of its endpoint list, in hexadecimal
   * @param listState how its endpoint list compares with those of the others
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
   * Different endpoint lists of one generation.
   *
   * @param holders the routers that hold each of the lists
   */
  public record ForkStatus(long generation, List<List<String>> holders) {}
}
