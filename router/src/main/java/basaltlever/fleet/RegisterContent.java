package basaltlever.fleet;

import basaltlever.membership.GroupAssignment;
import basaltlever.settings.SettingsVersion;
import basaltlever.settings.VersionRegister;
import basaltlever.settings.VersionRegister.HistoryEntry;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The content of a {@link VersionRegister} as stored in Raft snapshots and epoch starts. */
record RegisterContent(
    SettingsVersion inForce,
    SettingsVersion prepared,
    long lastNumber,
    long changeCount,
    long era,
    long assignmentChangeNumber,
    List<GroupAssignment> assignments,
    Map<String, String> recordedFolders,
    List<String> lostVoters,
    List<HistoryEntry> history) {
  /** Older settings texts are omitted to keep snapshots small; a revert needs only the latest. */
  private static final int MAX_VERSIONS_WITH_TEXT = 2;

  /** Returns the content of a register, under the register's lock. */
  static RegisterContent of(VersionRegister register) {
    synchronized (register) {
      return new RegisterContent(
          register.inForce(),
          register.prepared(),
          register.lastNumber(),
          register.changeCount(),
          register.era(),
          register.assignmentChangeNumber(),
          register.assignmentsChangedAfter(-1),
          new LinkedHashMap<>(register.recordedFolders()),
          List.copyOf(register.lostVoters()),
          withoutOldTexts(register.history()));
    }
  }

  private static List<HistoryEntry> withoutOldTexts(List<HistoryEntry> history) {
    List<HistoryEntry> entries = new ArrayList<>();
    for (HistoryEntry entry : history) {
      boolean isOld = history.indexOf(entry) < history.size() - MAX_VERSIONS_WITH_TEXT;
      entries.add(isOld ? withoutText(entry) : entry);
    }
    return entries;
  }

  private static HistoryEntry withoutText(HistoryEntry entry) {
    return new HistoryEntry(
        VersionCodec.withText(entry.version(), ""), entry.outcome(), entry.reason());
  }

  /** Replaces the content of a register, under the register's lock. */
  void restoreTo(VersionRegister register) {
    synchronized (register) {
      register.restore(inForce, prepared, lastNumber, changeCount, history);
      register.restore(era, assignmentChangeNumber, assignments);
      register.restore(recordedFolders, lostVoters);
    }
  }
}
