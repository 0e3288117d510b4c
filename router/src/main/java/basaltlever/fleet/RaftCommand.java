package basaltlever.fleet;

import basaltlever.membership.GroupAssignment;
import java.util.List;

/** A command of the voters' log, applied to the register of each voter in the same order. */
sealed interface RaftCommand {
  /** Proposes settings; see {@link basaltlever.settings.VersionRegister#propose}. */
  record Propose(
      long basis, String text, int routers, String proposer, String reason, long proposedAtMillis)
      implements RaftCommand {}

  /** The leader's proposal of the version in force for a new number of routers. */
  record ProposeRouterCount(Propose proposal) implements RaftCommand {}

  /** Brings the prepared version into force. */
  record BringIntoForce(long versionNumber) implements RaftCommand {}

  /** Withdraws the prepared version. */
  record Withdraw(long versionNumber, String reason) implements RaftCommand {}

  /** Assigns endpoints to groups. */
  record Assign(List<GroupAssignment> assignments) implements RaftCommand {}

  /** Marks assignments as in effect, since no router uses the endpoints in their former groups. */
  record ClearAssignments(List<GroupAssignment> assignments) implements RaftCommand {}

  /** Starts another era, since discovery counts its generations anew. */
  record StartNewEra(long era) implements RaftCommand {}

  /** Records the folder by which a voter votes. */
  record RecordVoterFolder(String voter, String folderId) implements RaftCommand {}

  /** Forgets the folder of a voter that is added or removed. */
  record RemoveVoterFolder(String voter) implements RaftCommand {}

  /** Starts a configuration epoch with what was left of the one before. */
  record StartEpoch(RegisterContent content) implements RaftCommand {}

  /** Proves that its sender still leads. */
  record Tick() implements RaftCommand {}

  /** A command that this release doesn't know: it only takes its place in the order. */
  record Unknown() implements RaftCommand {}
}
