package basaltlever.settings;

import basaltlever.membership.GroupAssignment;
import basaltlever.membership.ListVersion;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stores the group in which each endpoint is used, as the voters agreed. Each change is numbered,
 * so that a reader fetches only the changes after the last number that it has read.
 */
final class GroupAssignmentTable {
  private static final int MAX_ASSIGNMENTS = 4_000;

  private final TreeMap<String, GroupAssignment> assignments = new TreeMap<>();

  /** Number of the last change of each endpoint's assignment. */
  private final Map<String, Long> changeNumberByEndpoint = new HashMap<>();

  private long lastChangeNumber;

  /**
   * Assigns an endpoint to a group. The assignment of a new endpoint is cleared immediately, any
   * other by {@link #clear}. Returns false if nothing changes, because the endpoint is in that
   * group, is still moving, or the list version is no newer than that of its assignment.
   */
  boolean assign(String endpoint, int group, ListVersion listVersion) {
    GroupAssignment current = assignments.get(endpoint);
    if (current != null && !canMove(current, group, listVersion)) {
      return false;
    }
    put(new GroupAssignment(endpoint, group, listVersion, current == null));
    if (assignments.size() > MAX_ASSIGNMENTS) {
      removeOldest();
    }
    return true;
  }

  private static boolean canMove(GroupAssignment current, int group, ListVersion listVersion) {
    return current.cleared()
        && current.group() != group
        && listVersion.isNewerThan(current.listVersion());
  }

  private void removeOldest() {
    // An outdated list may still name a removed endpoint in another group. The oldest assignment is
    // the least likely to be needed against such a list.
    assignments.values().stream()
        .filter(GroupAssignment::cleared)
        .min(Comparator.comparing(GroupAssignment::listVersion))
        .ifPresent(
            oldest -> {
              assignments.remove(oldest.endpoint());
              changeNumberByEndpoint.remove(oldest.endpoint());
            });
  }

  /**
   * Clears the endpoint for use in its new group, once no router uses it in the former one. Returns
   * false if nothing changes.
   */
  boolean clear(String endpoint) {
    GroupAssignment current = assignments.get(endpoint);
    if (current == null || current.cleared()) {
      return false;
    }
    put(new GroupAssignment(endpoint, current.group(), current.listVersion(), true));
    return true;
  }

  private void put(GroupAssignment assignment) {
    lastChangeNumber++;
    assignments.put(assignment.endpoint(), assignment);
    changeNumberByEndpoint.put(assignment.endpoint(), lastChangeNumber);
  }

  /** Returns the number of the last change. */
  long lastChangeNumber() {
    return lastChangeNumber;
  }

  /** Returns the assignments that changed after the given number. */
  List<GroupAssignment> changedAfter(long changeNumber) {
    return changeNumber >= lastChangeNumber
        ? List.of()
        : assignments.values().stream()
            .filter(assignment -> changeNumberByEndpoint.get(assignment.endpoint()) > changeNumber)
            .toList();
  }

  /** Returns the assignment of the endpoint, or null if it has none. */
  GroupAssignment get(String endpoint) {
    return assignments.get(endpoint);
  }

  /**
   * Skips change numbers and marks all assignments as not cleared, so that no endpoint is used
   * until every router has stopped using it.
   */
  void unclearAll(long skippedNumbers) {
    lastChangeNumber += skippedNumbers;
    assignments.replaceAll(
        (endpoint, current) ->
            new GroupAssignment(endpoint, current.group(), current.listVersion(), false));
    changeNumberByEndpoint.replaceAll((endpoint, changeNumber) -> lastChangeNumber);
  }

  /** Replaces the contents of the table with those of a snapshot. */
  void restore(long snapshotNumber, List<GroupAssignment> snapshot) {
    lastChangeNumber = snapshotNumber;
    assignments.clear();
    changeNumberByEndpoint.clear();
    for (GroupAssignment assignment : snapshot) {
      assignments.put(assignment.endpoint(), assignment);
      changeNumberByEndpoint.put(assignment.endpoint(), snapshotNumber);
    }
  }
}
