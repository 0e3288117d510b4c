package basaltlever.fleet;

import basaltlever.fleet.RaftCommand.Assign;
import basaltlever.fleet.RaftCommand.BringIntoForce;
import basaltlever.fleet.RaftCommand.ClearAssignments;
import basaltlever.fleet.RaftCommand.Propose;
import basaltlever.fleet.RaftCommand.RecordVoterFolder;
import basaltlever.fleet.RaftCommand.RemoveVoterFolder;
import basaltlever.fleet.RaftCommand.StartEpoch;
import basaltlever.fleet.RaftCommand.StartNewEra;
import basaltlever.fleet.RaftCommand.Withdraw;
import basaltlever.settings.VersionRegister;

/** Applies the commands of the voters' Raft log to the register. */
final class CommandApplier {
  private static final String NOT_PREPARED_REASON = "it is not on its way";

  private CommandApplier() {}

  /** Returns why the command has no effect, or an empty text. Acquires the register's lock. */
  static String apply(RaftCommand command, VersionRegister register) {
    synchronized (register) {
      if (command instanceof Propose propose) {
        return register.propose(
            propose.basis(),
            propose.text(),
            propose.routers(),
            propose.proposer(),
            propose.reason(),
            propose.proposedAtMillis());
      } else if (command instanceof BringIntoForce bring) {
        return register.bringIntoForce(bring.versionNumber()) ? "" : NOT_PREPARED_REASON;
      } else if (command instanceof Withdraw withdraw) {
        return register.withdraw(withdraw.versionNumber(), withdraw.reason())
            ? ""
            : NOT_PREPARED_REASON;
      }
      return applyToMembership(command, register);
    }
  }

  private static String applyToMembership(RaftCommand command, VersionRegister register) {
    if (command instanceof Assign assign) {
      assign
          .assignments()
          .forEach(
              assignment ->
                  register.assignGroup(
                      assignment.endpoint(), assignment.group(), assignment.listVersion()));
    } else if (command instanceof ClearAssignments clear) {
      clear.assignments().forEach(assignment -> register.clearAssignment(assignment.endpoint()));
    } else if (command instanceof StartNewEra newEra) {
      return register.startNewEra(newEra.era()) ? "" : "it is counted anew already";
    } else if (command instanceof RecordVoterFolder folder) {
      return register.recordFolder(folder.voter(), folder.folderId()) ? "" : "its folder is known";
    } else if (command instanceof RemoveVoterFolder removal) {
      register.removeRecordedFolder(removal.voter());
    } else if (command instanceof StartEpoch start) {
      startEpoch(start.content(), register);
    }
    return "";
  }

  /** Has an effect only once per epoch, since leaders submit it until the epoch has started. */
  private static void startEpoch(RegisterContent content, VersionRegister register) {
    if (VersionRegister.epoch(content.changeCount()) > register.epoch()) {
      content.restoreTo(register);
    }
  }
}
