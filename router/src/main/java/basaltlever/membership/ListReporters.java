package basaltlever.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

/** Tracks which routers have reported which contents of a list version since the election. */
final class ListReporters {
  private static final int MAX_VERSIONS = 64;

  /** Names of the reporting routers by the digest of the content, by list version. */
  private final TreeMap<ListVersion, Map<Long, Set<String>>> reporters = new TreeMap<>();

  private final Collection<String> routers;

  /**
   * Creates the empty record.
   *
   * @param routers names of all routers of the fleet, which determine the majority
   */
  ListReporters(Collection<String> routers) {
    this.routers = routers;
  }

  void clear() {
    reporters.clear();
  }

  void add(String router, HeartbeatReport report) {
    reporters
        .computeIfAbsent(report.listVersion(), at -> new TreeMap<>())
        .computeIfAbsent(report.digest(), digest -> new HashSet<>())
        .add(router);
    if (reporters.size() > MAX_VERSIONS) {
      removeLeastReported();
    }
  }

  /**
   * Removes the version with the fewest reports, so that a router whose discovery produces ever
   * newer versions evicts only those.
   */
  private void removeLeastReported() {
    reporters.entrySet().stream()
        .min(Comparator.comparingInt(entry -> countReports(entry.getValue())))
        .ifPresent(least -> reporters.remove(least.getKey()));
  }

  private static int countReports(Map<Long, Set<String>> byDigest) {
    return byDigest.values().stream().mapToInt(Set::size).sum();
  }

  /** Whether most routers of the fleet have reported the same contents of that version. */
  boolean isReportedByMajority(HeartbeatReport report) {
    Set<String> names =
        reporters
            .getOrDefault(report.listVersion(), Map.of())
            .getOrDefault(report.digest(), Set.of());
    return isMajority(names);
  }

  /** Whether different contents have been reported for that version. */
  boolean isDisputed(ListVersion version) {
    return reporters.getOrDefault(version, Map.of()).size() > 1;
  }

  /** Returns the list versions for which most routers have reported the same contents. */
  Stream<ListVersion> versionsReportedByMajority() {
    return reporters.entrySet().stream()
        .filter(entry -> entry.getValue().values().stream().anyMatch(this::isMajority))
        .map(Map.Entry::getKey);
  }

  private boolean isMajority(Set<String> names) {
    return 2 * names.size() > routers.size();
  }
}
