package basaltlever.settings;

import basaltlever.membership.GroupAssignment;
import basaltlever.membership.ListVersion;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * In which group each endpoint is used, as the voters agreed. Every change gets the next number, so
 * that a reader needs only what has changed since the number that it has.
 */
final class GroupAssignmentTable {
  private static final int MAX_ASSIGNMENTS = 4_000;

  private final TreeMap<String, GroupAssignment> assignments = new TreeMap<>();

  /** Number of each endpoint's last change. */
  private final Map<String, Long> changeNumberByEndpoint = new HashMap<>();

  private long lastChangeNumber;

  /**
   * Assigns an endpoint to a group: at once where it has none, else after {@link #clear}. False
   * where nothing changes, because it is in that group, is still moving, or the list version is no
   * newer than the one that assigned it.
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
    // An outdated list may still name a removed endpoint in another group; the oldest assignment is
    // the least likely to meet such a list.
    assignments.values().stream()
        .filter(GroupAssignment::cleared)
        .min(Comparator.comparing(GroupAssignment::listVersion))
        .ifPresent(
            oldest -> {
              assignments.remove(oldest.endpoint());
              changeNumberByEndpoint.remove(oldest.endpoint());
            });
  }

  /** No router uses the endpoint in its former group any more; false where nothing changes. */
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

  /** Number of the last change. */
  long lastChangeNumber() {
    return lastChangeNumber;
  }

  /** The assignments that changed after the given number. */
  List<GroupAssignment> changedAfter(long changeNumber) {
    return changeNumber >= lastChangeNumber
        ? List.of()
        : assignments.values().stream()
            .filter(assignment -> changeNumberByEndpoint.get(assignment.endpoint()) > changeNumber)
            .toList();
  }

  /** Null where the endpoint has none. */
  GroupAssignment get(String endpoint) {
    return assignments.get(endpoint);
  }

  /** Skips some numbers and makes every endpoint wait until all routers have stopped using it. */
  void unclearAll(long skippedNumbers) {
    lastChangeNumber += skippedNumbers;
    assignments.replaceAll(
        (endpoint, current) ->
            new GroupAssignment(endpoint, current.group(), current.listVersion(), false));
    changeNumberByEndpoint.replaceAll((endpoint, changeNumber) -> lastChangeNumber);
  }

  /** Replaces the table by the contents of a snapshot. */
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
