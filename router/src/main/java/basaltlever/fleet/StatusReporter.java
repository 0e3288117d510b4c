package basaltlever.fleet;

import basaltlever.settings.SettingsVersion;
import basaltlever.settings.VersionRegister;
import basaltlever.settings.VersionRegister.HistoryEntry;
import java.util.List;

/** Builds a voter's status report, on the voter's event loop. */
final class StatusReporter {
  /** Settings texts of older versions are omitted from the history, since replies are limited. */
  private static final int MAX_VERSION_AGE_WITH_TEXT = 3;

  private final VoterLifecycle lifecycle;
  private final FleetLeader fleetLeader;

  StatusReporter(VoterLifecycle lifecycle, FleetLeader leader) {
    this.lifecycle = lifecycle;
    this.fleetLeader = leader;
  }

  /** Builds the report for the named instance; the name is empty for an operator's command. */
  StatusReport report(String requester) {
    RaftNode raftNode = lifecycle.raftNode();
    VersionRegister register = lifecycle.register();
    // Read before the register is locked, since these calls acquire other locks.
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
