package basaltlever.fleet;

import basaltlever.membership.GroupAssignment;
import java.util.List;

/** A command of the voters' Raft log; every voter applies all commands in the same order. */
sealed interface RaftCommand {
  /** Proposes settings; see {@link basaltlever.settings.VersionRegister#propose}. */
  record Propose(
      long basis, String text, int routers, String proposer, String reason, long proposedAtMillis)
      implements RaftCommand {}

  /** Proposes the settings in force again, for a changed number of routers. */
  record ProposeRouterCount(Propose proposal) implements RaftCommand {}

  /** Brings the prepared version into force. */
  record BringIntoForce(long versionNumber) implements RaftCommand {}

  /** Withdraws the prepared version. */
  record Withdraw(long versionNumber, String reason) implements RaftCommand {}

  /** Assigns endpoints to groups. */
  record Assign(List<GroupAssignment> assignments) implements RaftCommand {}

  /** Marks assignments as effective: no router uses the endpoints in their former groups. */
  record ClearAssignments(List<GroupAssignment> assignments) implements RaftCommand {}

  /** Starts a new era after discovery has restarted its generation numbers. */
  record StartNewEra(long era) implements RaftCommand {}

  /** Records the id of the folder with which a voter votes. */
  record RecordVoterFolder(String voter, String folderId) implements RaftCommand {}

  /** Removes the recorded folder of a voter that is added or removed. */
  record RemoveVoterFolder(String voter) implements RaftCommand {}

  /** Starts a configuration epoch with the register recovered from the previous one. */
  record StartEpoch(RegisterContent content) implements RaftCommand {}

  /** Confirms, once a majority has committed it, that its sender still leads. */
  record Tick() implements RaftCommand {}

  /** A command of a kind that this release doesn't support; it is applied without any effect. */
  record Unknown() implements RaftCommand {}
}
