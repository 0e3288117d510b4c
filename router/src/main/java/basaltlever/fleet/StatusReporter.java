package basaltlever.fleet;

import basaltlever.settings.SettingsVersion;
import basaltlever.settings.VersionRegister;
import basaltlever.settings.VersionRegister.HistoryEntry;
import java.util.List;

/** Puts together a voter's status; on the voter's event loop. */
final class StatusReporter {
  /** Of the whole history only the latest texts are sent, since a reply is limited in size. */
  private static final int SENT_TEXTS = 3;

  private final VoterLifecycle lifecycle;
  private final FleetLeader leader;

  StatusReporter(VoterLifecycle lifecycle, FleetLeader leader) {
    this.lifecycle = lifecycle;
    this.leader = leader;
  }

  /** The status for the instance of that name; empty for an operator's command. */
  StatusReport report(String asker) {
    RaftNode node = lifecycle.node();
    VersionRegister register = lifecycle.register();
    // Before the register is locked, since these take locks of their own.
    String standing = node == null ? "does not vote: " + lifecycle.waitReason() : node.standing();
    List<String> members = node == null ? List.of() : node.members();
    boolean emptyFolder = node == null && lifecycle.hasEmptyFolder();
    synchronized (register) {
      return new StatusReport(
          leader.isLeading(),
          standing,
          lifecycle.epoch(),
          members,
          emptyFolder,
          register.changeCount(),
          register.inForce(),
          register.prepared(),
          history(register),
          leader.peerLines(register),
          leader.forkLines(),
          register.era(),
          register.assignmentChangeNumber(),
          register.assignmentsChangedAfter(-1).stream().filter(each -> !each.cleared()).toList(),
          register.recordedFolder(asker));
    }
  }

  private static List<StatusReport.HistoryLine> history(VersionRegister register) {
    long oldestWithText = register.lastNumber() - SENT_TEXTS;
    return register.history().stream().map(entry -> line(entry, oldestWithText)).toList();
  }

  private static StatusReport.HistoryLine line(HistoryEntry entry, long oldestWithText) {
    SettingsVersion version = entry.version();
    return new StatusReport.HistoryLine(
        new SentVersion(version, version.number() >= oldestWithText),
        entry.outcome().name(),
        entry.reason());
  }
}
