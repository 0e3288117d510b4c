package basaltlever.fleet;

import basaltlever.settings.SettingsVersion;
import basaltlever.settings.VersionRegister;
import basaltlever.settings.VersionRegister.HistoryEntry;
import java.util.List;

/** Puts together a voter's status; on the voter's event loop. */
final class StatusReporter {
  /** Of the whole history only the latest texts are sent, since a reply is limited in size. */
  private static final int MAX_VERSION_AGE_WITH_TEXT = 3;

  private final VoterLifecycle lifecycle;
  private final FleetLeader fleetLeader;

  StatusReporter(VoterLifecycle lifecycle, FleetLeader leader) {
    this.lifecycle = lifecycle;
    this.fleetLeader = leader;
  }

  /** The status for the instance of that name; empty for an operator's command. */
  StatusReport report(String requester) {
    RaftNode raftNode = lifecycle.raftNode();
    VersionRegister register = lifecycle.register();
    // Before the register is locked, since these take locks of their own.
    String raftStatus =
        raftNode == null ? "does not vote: " + lifecycle.waitReason() : raftNode.statusSummary();
    List<String> voters = raftNode == null ? List.of() : raftNode.voters();
    boolean hasUnusedFolder = raftNode == null && lifecycle.hasUnusedFolder();
    synchronized (register) {
      return new StatusReport(
          fleetLeader.isLeading(),
          raftStatus,
          lifecycle.epoch(),
          voters,
          hasUnusedFolder,
          register.changeCount(),
          register.inForce(),
          register.prepared(),
          versionStatuses(register),
          fleetLeader.routerStatuses(register),
          fleetLeader.forkStatuses(),
          register.era(),
          register.assignmentChangeNumber(),
          register.assignmentsChangedAfter(-1).stream()
              .filter(assignment -> !assignment.cleared())
              .toList(),
          register.recordedFolder(requester));
    }
  }

  private static List<StatusReport.VersionStatus> versionStatuses(VersionRegister register) {
    long oldestWithText = register.lastNumber() - MAX_VERSION_AGE_WITH_TEXT;
    return register.history().stream()
        .map(entry -> toVersionStatus(entry, oldestWithText))
        .toList();
  }

  private static StatusReport.VersionStatus toVersionStatus(
      HistoryEntry entry, long oldestWithText) {
    SettingsVersion version = entry.version();
    return new StatusReport.VersionStatus(
        new SentVersion(version, version.number() >= oldestWithText),
        entry.outcome().name(),
        entry.reason());
  }
}
