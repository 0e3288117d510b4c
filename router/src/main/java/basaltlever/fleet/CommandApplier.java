package basaltlever.fleet;

import basaltlever.fleet.RaftCommand.Assign;
import basaltlever.fleet.RaftCommand.BringIntoForce;
import basaltlever.fleet.RaftCommand.ClearAssignments;
import basaltlever.fleet.RaftCommand.CountAnew;
import basaltlever.fleet.RaftCommand.ForgetVoterFolder;
import basaltlever.fleet.RaftCommand.Propose;
import basaltlever.fleet.RaftCommand.RegisterVoterFolder;
import basaltlever.fleet.RaftCommand.StartEpoch;
import basaltlever.fleet.RaftCommand.Withdraw;
import basaltlever.settings.VersionRegister;

/** Applies the commands of the voters' log to the register. */
final class CommandApplier {
  private static final String NOT_PREPARED = "it is not on its way";

  private CommandApplier() {}

  /** Why the command has no effect; empty where it has. Takes the register's lock. */
  static String apply(RaftCommand command, VersionRegister register) {
    synchronized (register) {
      if (command instanceof Propose propose) {
        return register.propose(
            propose.basis(),
            propose.text(),
            propose.routers(),
            propose.who(),
            propose.why(),
            propose.atMillis());
      } else if (command instanceof BringIntoForce bring) {
        return register.bringIntoForce(bring.version()) ? "" : NOT_PREPARED;
      } else if (command instanceof Withdraw withdraw) {
        return register.withdraw(withdraw.version(), withdraw.reason()) ? "" : NOT_PREPARED;
      }
      return applyToMembership(command, register);
    }
  }

  private static String applyToMembership(RaftCommand command, VersionRegister register) {
    if (command instanceof Assign assign) {
      assign
          .assignments()
          .forEach(each -> register.assignGroup(each.endpoint(), each.group(), each.listVersion()));
    } else if (command instanceof ClearAssignments clear) {
      clear.assignments().forEach(each -> register.clearAssignment(each.endpoint()));
    } else if (command instanceof CountAnew anew) {
      return register.startNewEra(anew.era()) ? "" : "it is counted anew already";
    } else if (command instanceof RegisterVoterFolder folder) {
      return register.recordFolder(folder.voter(), folder.folder()) ? "" : "its folder is known";
    } else if (command instanceof ForgetVoterFolder forget) {
      register.removeRecordedFolder(forget.voter());
    } else if (command instanceof StartEpoch start) {
      startEpoch(start.content(), register);
    }
    return "";
  }

  /** Takes effect once: leaders submit it until the epoch has started. */
  private static void startEpoch(RegisterContent content, VersionRegister register) {
    if (VersionRegister.epoch(content.changes()) > register.epoch()) {
      content.restoreTo(register);
    }
  }
}
