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
  private final Map<String, Long> changedAt = new HashMap<>();

  private long number;

  /**
   * Assigns an endpoint to a group: at once where it has none, else after {@link #clear}. False
   * where nothing changes, because it is in that group, is still moving, or the list version is no
   * newer than the one that assigned it.
   */
  boolean assign(String endpoint, int group, ListVersion at) {
    GroupAssignment known = assignments.get(endpoint);
    if (known != null && !mayMove(known, group, at)) {
      return false;
    }
    put(new GroupAssignment(endpoint, group, at, known == null));
    if (assignments.size() > MAX_ASSIGNMENTS) {
      removeOldest();
    }
    return true;
  }

  private static boolean mayMove(GroupAssignment known, int group, ListVersion at) {
    return known.cleared() && known.group() != group && at.isNewerThan(known.listVersion());
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
              changedAt.remove(oldest.endpoint());
            });
  }

  /** No router uses the endpoint in its former group any more; false where nothing changes. */
  boolean clear(String endpoint) {
    GroupAssignment known = assignments.get(endpoint);
    if (known == null || known.cleared()) {
      return false;
    }
    put(new GroupAssignment(endpoint, known.group(), known.listVersion(), true));
    return true;
  }

  private void put(GroupAssignment assignment) {
    number++;
    assignments.put(assignment.endpoint(), assignment);
    changedAt.put(assignment.endpoint(), number);
  }

  /** Number of the last change. */
  long number() {
    return number;
  }

  /** The assignments that changed after the given number. */
  List<GroupAssignment> changedAfter(long after) {
    return after >= number
        ? List.of()
        : assignments.values().stream()
            .filter(assignment -> changedAt.get(assignment.endpoint()) > after)
            .toList();
  }

  /** Null where the endpoint has none. */
  GroupAssignment get(String endpoint) {
    return assignments.get(endpoint);
  }

  /** Skips some numbers and makes every endpoint wait until all routers have stopped using it. */
  void unclearAll(long skippedNumbers) {
    number += skippedNumbers;
    assignments.replaceAll(
        (endpoint, known) ->
            new GroupAssignment(endpoint, known.group(), known.listVersion(), false));
    changedAt.replaceAll((endpoint, changed) -> number);
  }

  /** Replaces the table by the contents of a snapshot. */
  void restore(long snapshotNumber, List<GroupAssignment> snapshot) {
    number = snapshotNumber;
    assignments.clear();
    changedAt.clear();
    for (GroupAssignment assignment : snapshot) {
      assignments.put(assignment.endpoint(), assignment);
      changedAt.put(assignment.endpoint(), snapshotNumber);
    }
  }
}
