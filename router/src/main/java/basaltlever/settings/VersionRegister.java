package basaltlever.settings;

import basaltlever.membership.GroupAssignment;
import basaltlever.membership.ListVersion;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Replicated state of the voters: versions of the settings, group assignments of endpoints, the era
 * of endpoint lists and the voters' folders.
 *
 * <p>Only commands change it, which the consensus log delivers to every voter in the same order,
 * and it reads no clock, so all copies are equal. A proposed version is first prepared, while every
 * router complies with the stricter of it and the version in force, and then takes effect or is
 * withdrawn.
 */
public final class VersionRegister {
  private static final int MAX_HISTORY = 200;

  /**
   * The upper bits of the change count are the configuration epoch, so that any change in a new
   * epoch has a larger count than all changes of the epochs before.
   */
  private static final int EPOCH_SHIFT = 40;

  /** Version numbers skipped by a recovery: more than lost voters can have assigned unseen. */
  private static final int SKIPPED_VERSIONS = 1_000;

  /** Assignment change numbers skipped by a recovery, for the same reason. */
  private static final long SKIPPED_ASSIGNMENTS = 1_000_000;

  /** Maximum length of the JSON text of a version, in characters. */
  public static final int MAX_TEXT_LENGTH = 128 * 1024;

  /** Outcome of a proposed version. */
  public enum VersionOutcome {
    /** The version took effect. */
    IN_FORCE,
    /** The version was prepared and then withdrawn. */
    WITHDRAWN,
    /** The version was rejected and never prepared. */
    REFUSED
  }

  /**
   * One past proposal.
   *
   * @param version the proposed version
   * @param outcome outcome of the proposal
   * @param reason why it did not take effect, or a remark; may be empty
   */
  public record HistoryEntry(SettingsVersion version, VersionOutcome outcome, String reason) {}

  private SettingsVersion inForce =
      new SettingsVersion(0, "", 1, "", "the start file of each router", 0);
  private SettingsVersion prepared;
  private long lastNumber;
  private long changeCount;
  private final ArrayDeque<HistoryEntry> history = new ArrayDeque<>();

  private final GroupAssignmentTable assignments = new GroupAssignmentTable();
  private long era;

  /** Id of the folder that each voter has voted with, by the voter's name. */
  private final TreeMap<String, String> folders = new TreeMap<>();

  /** Voters given up by the last recovery. */
  private final TreeSet<String> lostVoters = new TreeSet<>();

  /**
   * Proposes a version, based on the version in force that the proposer has read. The later of two
   * concurrent proposals is rejected, with a reason that names the other one.
   *
   * @param basis number of the version in force when the proposal was written
   * @return why the proposal is rejected; empty if the version is now prepared
   */
  public String propose(
      long basis, String text, int routers, String proposer, String reason, long proposedAtMillis) {
    changeCount++;
    String rejection = reasonToReject(basis, text);
    if (!rejection.isEmpty()) {
      SettingsVersion rejected =
          new SettingsVersion(0, text, routers, proposer, reason, proposedAtMillis);
      addToHistory(new HistoryEntry(rejected, VersionOutcome.REFUSED, rejection));
      return rejection;
    }
    lastNumber++;
    prepared = new SettingsVersion(lastNumber, text, routers, proposer, reason, proposedAtMillis);
    return "";
  }

  private String reasonToReject(long basis, String text) {
    if (prepared != null) {
      return "version "
          + prepared.number()
          + " by "
          + prepared.proposer()
          + " is being brought into force";
    }
    if (basis != inForce.number()) {
      return "version "
          + inForce.number()
          + " by "
          + inForce.proposer()
          + " came into force since version "
          + basis;
    }
    return text.length() > MAX_TEXT_LENGTH
        ? "it is longer than " + MAX_TEXT_LENGTH + " characters"
        : "";
  }

  /**
   * Brings the prepared version into force, once every router with a lease has acknowledged it.
   * Returns false if no version of that number is prepared.
   */
  public boolean bringIntoForce(long number) {
    changeCount++;
    if (!isPrepared(number)) {
      return false;
    }
    inForce = prepared;
    prepared = null;
    addToHistory(new HistoryEntry(inForce, VersionOutcome.IN_FORCE, ""));
    return true;
  }

  /** Withdraws the prepared version; returns false if no version of that number is prepared. */
  public boolean withdraw(long number, String reason) {
    changeCount++;
    if (!isPrepared(number)) {
      return false;
    }
    withdrawPrepared(reason);
    return true;
  }

  private boolean isPrepared(long number) {
    return prepared != null && prepared.number() == number;
  }

  private void withdrawPrepared(String reason) {
    addToHistory(new HistoryEntry(prepared, VersionOutcome.WITHDRAWN, reason));
    prepared = null;
  }

  /**
   * Assigns an endpoint to a group. If it has one already, the new assignment applies only after it
   * is cleared, once every router has stopped using the endpoint. Returns false if nothing changes.
   */
  public boolean assignGroup(String endpoint, int group, ListVersion listVersion) {
    changeCount++;
    return assignments.assign(endpoint, group, listVersion);
  }

  /** Clears an assignment, once every router has stopped using the endpoint in its former group. */
  public boolean clearAssignment(String endpoint) {
    changeCount++;
    return assignments.clear(endpoint);
  }

  /**
   * Starts a new era of endpoint lists, because discovery has lost its state and restarted its
   * generations. Returns whether the era is now the one after the given, also for a repeated
   * command.
   */
  public boolean startNewEra(long formerEra) {
    changeCount++;
    if (formerEra == era) {
      era++;
    }
    return era == formerEra + 1;
  }

  /** Returns the era of the current endpoint lists. */
  public long era() {
    return era;
  }

  /** Returns the number of the last change of a group assignment. */
  public long assignmentChangeNumber() {
    return assignments.lastChangeNumber();
  }

  /** Returns the group assignments that changed after the given number. */
  public List<GroupAssignment> assignmentsChangedAfter(long changeNumber) {
    return assignments.changedAfter(changeNumber);
  }

  /** Returns the endpoint's group assignment, or null if it has none. */
  public GroupAssignment groupAssignment(String endpoint) {
    return assignments.get(endpoint);
  }

  /** Restores the era and the group assignments from a snapshot. */
  public void restore(
      long snapshotEra, long snapshotNumber, List<GroupAssignment> snapshotAssignments) {
    era = snapshotEra;
    assignments.restore(snapshotNumber, snapshotAssignments);
  }

  /**
   * Records the folder that a voter votes with: a different folder of a voter of that name lacks
   * those votes. Returns false if one is recorded already.
   */
  public boolean recordFolder(String voter, String folder) {
    changeCount++;
    return folders.putIfAbsent(voter, folder) == null;
  }

  /** Removes the record of a voter that was removed or that will vote with another folder. */
  public void removeRecordedFolder(String voter) {
    changeCount++;
    folders.remove(voter);
  }

  /** Returns the id of the voter's recorded folder; empty if none is recorded. */
  public String recordedFolder(String voter) {
    return folders.getOrDefault(voter, "");
  }

  /** Returns the configuration epoch: the number of recoveries from the loss of a majority. */
  public long epoch() {
    return epoch(changeCount);
  }

  /** Returns the configuration epoch of a change count, such as that of a grant. */
  public static long epoch(long changeCount) {
    return changeCount >>> EPOCH_SHIFT;
  }

  /** Returns the smallest change count of a configuration epoch. */
  public static long firstChangeCount(long epoch) {
    return epoch << EPOCH_SHIFT;
  }

  /**
   * Starts a new configuration epoch from this copy, after a majority was permanently lost.
   *
   * <p>The lost voters may have agreed on changes that this copy lacks. All numbers therefore skip
   * those that the lost voters can have assigned, and no endpoint is used until every router has
   * stopped using it.
   */
  public void recover(
      Set<String> givenUpVoters, String proposer, String reason, long proposedAtMillis) {
    changeCount = firstChangeCount(epoch() + 1);
    if (prepared != null) {
      withdrawPrepared("a majority was lost");
    }
    lastNumber = Math.max(lastNumber, inForce.number()) + SKIPPED_VERSIONS;
    inForce =
        new SettingsVersion(
            lastNumber,
            inForce.settingsJson(),
            inForce.routers(),
            proposer,
            reason,
            proposedAtMillis);
    String remark = "charter " + epoch() + ", without " + String.join(", ", givenUpVoters);
    addToHistory(new HistoryEntry(inForce, VersionOutcome.IN_FORCE, remark));
    assignments.unclearAll(SKIPPED_ASSIGNMENTS);
    folders.clear();
    lostVoters.clear();
    lostVoters.addAll(givenUpVoters);
  }

  /** Returns the voters given up by the last recovery; the operator confirmed that they stopped. */
  public Set<String> lostVoters() {
    return lostVoters;
  }

  /** Returns the id of each voter's recorded folder, by the voter's name. */
  public Map<String, String> recordedFolders() {
    return folders;
  }

  /** Restores the voters' folders and the lost voters from a snapshot. */
  public void restore(Map<String, String> snapshotFolders, Collection<String> snapshotLostVoters) {
    folders.clear();
    folders.putAll(snapshotFolders);
    lostVoters.clear();
    lostVoters.addAll(snapshotLostVoters);
  }

  private void addToHistory(HistoryEntry entry) {
    history.addLast(entry);
    if (history.size() > MAX_HISTORY) {
      history.removeFirst();
    }
  }

  /** Returns the version in force. */
  public SettingsVersion inForce() {
    return inForce;
  }

  /** Returns the prepared version, or null if there is none. */
  public SettingsVersion prepared() {
    return prepared;
  }

  /** Returns the last version number assigned. */
  public long lastNumber() {
    return lastNumber;
  }

  /**
   * Returns the configuration epoch in the upper bits and the number of commands applied in it in
   * the lower ones. The copy with the larger count is the newer one.
   */
  public long changeCount() {
    return changeCount;
  }

  /** Returns the latest past proposals, oldest first. */
  public List<HistoryEntry> history() {
    return new ArrayList<>(history);
  }

  /** Restores the versions of the settings from a snapshot. */
  public void restore(
      SettingsVersion snapshotInForce,
      SettingsVersion snapshotPrepared,
      long snapshotLastNumber,
      long snapshotChangeCount,
      List<HistoryEntry> snapshotHistory) {
    changeCount = snapshotChangeCount;
    inForce = snapshotInForce;
    prepared = snapshotPrepared;
    lastNumber = snapshotLastNumber;
    history.clear();
    snapshotHistory.forEach(this::addToHistory);
  }
}
