package basaltlever.membership;

import basaltlever.settings.LeaseTable;
import basaltlever.settings.VersionRegister;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Tracks the endpoint lists of all routers at the leader. It distributes drain marks, determines
 * whether each router's list agrees with the others', and proposes group assignments and eras to
 * the voters.
 *
 * <p>Drain marks only restrict and are distributed without a vote. Group assignments and eras also
 * permit the use of endpoints, so they take effect only as commands of the consensus log.
 */
public final class MembershipCoordinator {
  private static final int MAX_ASSIGNMENTS_PER_STEP = 500;

  /** Minimum time between two new eras, in lease durations. */
  private static final int MIN_ERA_DURATION_LEASES = 5;

  /** Time for which a count of the reported lists is reused, in lease durations. */
  private static final double RECOUNT_INTERVAL_LEASES = 0.1;

  /** The next command that the leader has to propose to the voters. */
  public record Step(Kind kind, List<GroupAssignment> assignments) {
    /** Type of the command. */
    public enum Kind {
      /** No command is due. */
      NOTHING,
      /** Assigns endpoints to groups. */
      ASSIGN,
      /** Clears endpoints for use in their new groups. */
      CLEAR,
      /** Starts a new era of endpoint lists. */
      START_NEW_ERA
    }

    static final Step NOTHING = new Step(Kind.NOTHING, List.of());
  }

  /**
   * Different list contents under one version.
   *
   * @param listVersion version of the lists
   * @param holders names of the routers that hold each content, by its digest
   */
  public record ListFork(ListVersion listVersion, Map<Long, List<String>> holders) {}

  private record ListContent(ListVersion version, long digest) {
    static ListContent of(HeartbeatReport report) {
      return new ListContent(report.listVersion(), report.digest());
    }
  }

  private final LeaseTable leases;
  private final Collection<String> routers;
  private final Span assignmentValidity;
  private final Map<String, HeartbeatReport> reports = new TreeMap<>();
  private final DrainMarkLog drainMarks = new DrainMarkLog();
  private final ListReporters reporters;

  /** Names of routers that have stopped using a moving endpoint, by endpoint. */
  private final Map<String, Set<String>> releasedBy = new HashMap<>();

  private Moment leadingSince = Moment.LONG_AGO;
  private Moment lastEraChangeAt = Moment.LONG_AGO;

  /** Number of routers with a lease that held each list at the last count. */
  private Map<ListContent, Integer> holders = Map.of();

  private int leasedRouters;
  private Moment countedAt = Moment.LONG_AGO;

  /**
   * Creates the coordinator of a voter that is not the leader yet.
   *
   * @param leases table of router leases at this voter
   * @param routers names of all routers of the fleet
   * @param assignmentValidity how long a router without contact to the leader may continue to use
   *     endpoints in the groups last assigned to them, including its longest attempt
   */
  public MembershipCoordinator(
      LeaseTable leases, Collection<String> routers, Span assignmentValidity) {
    this.leases = leases;
    this.routers = routers;
    this.assignmentValidity = assignmentValidity;
    this.reporters = new ListReporters(routers);
  }

  /** Called when this voter becomes the leader; resets the state for a new, unique term. */
  public void startLeading(Moment now, long term) {
    reports.clear();
    releasedBy.clear();
    drainMarks.startTerm(term);
    reporters.clear();
    leadingSince = now;
    countedAt = Moment.LONG_AGO;
  }

  /** Records the report received with a router's heartbeat and answers it. */
  public MembershipUpdate answerHeartbeat(
      Moment now, String router, HeartbeatReport report, VersionRegister register) {
    record(router, report);
    DrainMarkLog.Batch batch =
        drainMarks.readAfter(report.coordinatorTerm(), report.readPosition());
    boolean isOfThisTerm = report.coordinatorTerm() == drainMarks.term();
    return new MembershipUpdate(
        drainMarks.term(),
        batch.position(),
        batch.marks(),
        isOfThisTerm ? report.drainMarksEnd() : 0,
        assessAgreement(report, now, register),
        report.listVersion(),
        report.digest(),
        register.era(),
        register.assignmentChangeNumber(),
        register.assignmentsChangedAfter(report.assignmentChangeNumber()));
  }

  private void record(String router, HeartbeatReport report) {
    reports.put(router, report);
    report.drainMarks().forEach(drainMarks::add);
    if (report.digest() != 0) {
      reporters.add(router, report);
    }
    for (String endpoint : report.releasedEndpoints()) {
      releasedBy.computeIfAbsent(endpoint, absent -> new HashSet<>()).add(router);
    }
  }

  private ListAgreement assessAgreement(
      HeartbeatReport report, Moment now, VersionRegister register) {
    if (report.digest() == 0 || !hasSoleAuthority(now)) {
      return ListAgreement.UNTOLD;
    }
    recountHolders(now);
    // Routers that have not sent a heartbeat to this leader yet count as well.
    int routerCount = Math.max(leasedRouters, register.inForce().routers());
    if (2 * holders.getOrDefault(ListContent.of(report), 0) > routerCount) {
      return ListAgreement.SEEN;
    }
    if (reporters.isReportedByMajority(report)) {
      return ListAgreement.PASSED;
    }
    if (reporters.isDisputed(report.listVersion())) {
      return ListAgreement.DISPUTED;
    }
    if (2 * countHoldersOfNewer(report.listVersion()) > routerCount) {
      return ListAgreement.BEHIND;
    }
    // Until most routers have reported, the absence of contradicting reports proves nothing.
    return 2 * leasedRouters > routerCount ? ListAgreement.AHEAD : ListAgreement.UNTOLD;
  }

  private int countHoldersOfNewer(ListVersion version) {
    return holders.entrySet().stream()
        .filter(entry -> entry.getKey().version().isNewerThan(version))
        .mapToInt(Map.Entry::getValue)
        .sum();
  }

  /** Whether this voter is confirmed as the leader and all leases of its predecessor have ended. */
  private boolean hasSoleAuthority(Moment now) {
    return !leases.canFormerLeasesRun(now) && leases.isConfirmed(now);
  }

  /**
   * Recounts the holders of each list unless a recent count exists. Counting at every heartbeat
   * would cost the square of the number of routers.
   */
  private void recountHolders(Moment now) {
    Span interval = leases.leaseDuration().times(RECOUNT_INTERVAL_LEASES);
    if (now.since(countedAt).isShorterThan(interval)) {
      return;
    }
    countedAt = now;
    holders = new HashMap<>();
    leasedRouters = 0;
    for (HeartbeatReport report : leasedReports(now)) {
      leasedRouters++;
      holders.merge(ListContent.of(report), 1, Integer::sum);
    }
  }

  private List<HeartbeatReport> leasedReports(Moment now) {
    return reports.entrySet().stream()
        .filter(entry -> leases.hasLease(entry.getKey(), now))
        .map(Map.Entry::getValue)
        .toList();
  }

  /** Returns the next command: a new era first, then cleared endpoints, then new assignments. */
  public Step nextStep(Moment now, VersionRegister register) {
    if (!hasSoleAuthority(now)) {
      return Step.NOTHING;
    }
    List<HeartbeatReport> leased = leasedReports(now);
    if (isNewEraDue(now, leased, register)) {
      lastEraChangeAt = now;
      return new Step(Step.Kind.START_NEW_ERA, List.of());
    }
    List<GroupAssignment> released = findReleasedMoves(now, register);
    if (!released.isEmpty()) {
      return new Step(Step.Kind.CLEAR, released);
    }
    List<GroupAssignment> assignments = findNewAssignments(leased, register);
    assignments.forEach(assignment -> releasedBy.remove(assignment.endpoint()));
    return assignments.isEmpty() ? Step.NOTHING : new Step(Step.Kind.ASSIGN, assignments);
  }

  /**
   * Whether most routers hold a list that is older than their previous one or than the newest list
   * agreed on, so that discovery must have restarted its generations.
   */
  private boolean isNewEraDue(Moment now, List<HeartbeatReport> leased, VersionRegister register) {
    // Eras are limited in frequency because every new era makes all routers fetch their lists
    // again, and discovery may announce a generation that is far too high by mistake.
    Span minInterval = leases.leaseDuration().times(MIN_ERA_DURATION_LEASES);
    if (!now.since(lastEraChangeAt).isLongerThan(minInterval)) {
      return false;
    }
    ListVersion newestAgreed = newestAgreedVersion(register);
    int regressed = 0;
    int outdated = 0;
    for (HeartbeatReport report : leased) {
      if (report.listVersion().era() != register.era()) {
        continue;
      }
      regressed += report.anomaly() == ListAnomaly.BACK ? 1 : 0;
      // A router that has started since then had no newer list before this one.
      outdated += report.digest() != 0 && newestAgreed.isNewerThan(report.listVersion()) ? 1 : 0;
    }
    int routerCount = Math.max(leased.size(), register.inForce().routers());
    return 2 * Math.max(regressed, outdated) > routerCount;
  }

  /**
   * Returns the newest version agreed on. Versions reported by a minority do not count, as their
   * discovery may be wrong.
   */
  private ListVersion newestAgreedVersion(VersionRegister register) {
    Stream<ListVersion> assigned =
        allAssignments(register).stream().map(GroupAssignment::listVersion);
    return Stream.concat(assigned, reporters.versionsReportedByMajority())
        .max(Comparator.naturalOrder())
        .orElse(ListVersion.NONE);
  }

  private static List<GroupAssignment> allAssignments(VersionRegister register) {
    return register.assignmentsChangedAfter(-1);
  }

  private List<GroupAssignment> findReleasedMoves(Moment now, VersionRegister register) {
    return allAssignments(register).stream()
        .filter(assignment -> !assignment.cleared())
        .filter(assignment -> isReleasedByAll(assignment.endpoint(), now, register.lostVoters()))
        .limit(MAX_ASSIGNMENTS_PER_STEP)
        .toList();
  }

  private boolean isReleasedByAll(String endpoint, Moment now, Set<String> lostVoters) {
    Set<String> released = releasedBy.getOrDefault(endpoint, Set.of());
    return routers.stream()
        .allMatch(
            router ->
                released.contains(router)
                    || (lostVoters.contains(router) && !reports.containsKey(router))
                    || isAssignmentExpired(router, now));
  }

  /**
   * Whether a router has been out of contact for so long that the group assignments it received
   * have expired. A router that has released an endpoint needs no such wait: it does not use the
   * endpoint again before the move is cleared, and a new process of that name receives the move
   * before its first attempt.
   */
  private boolean isAssignmentExpired(String router, Moment now) {
    Moment lastContact = leases.lastHeartbeatAt(router).later(leadingSince);
    Span validity = leases.withClockDrift(assignmentValidity.plus(leases.leaseDuration()));
    return now.since(lastContact).isLongerThan(validity);
  }

  private List<GroupAssignment> findNewAssignments(
      List<HeartbeatReport> leased, VersionRegister register) {
    return newestRequested(leased).values().stream()
        .filter(requested -> canAssign(requested, register.groupAssignment(requested.endpoint())))
        .limit(MAX_ASSIGNMENTS_PER_STEP)
        .toList();
  }

  /** Returns the newest assignment per endpoint in lists that most routers have reported. */
  private Map<String, GroupAssignment> newestRequested(List<HeartbeatReport> leased) {
    Map<String, GroupAssignment> newest = new TreeMap<>();
    for (HeartbeatReport report : leased) {
      if (!report.requestedAssignments().isEmpty() && reporters.isReportedByMajority(report)) {
        for (GroupAssignment requested : report.requestedAssignments()) {
          newest.merge(requested.endpoint(), requested, MembershipCoordinator::newerOf);
        }
      }
    }
    return newest;
  }

  private static GroupAssignment newerOf(GroupAssignment one, GroupAssignment other) {
    return one.listVersion().isNewerThan(other.listVersion()) ? one : other;
  }

  private static boolean canAssign(GroupAssignment requested, GroupAssignment current) {
    return current == null
        || (current.cleared()
            && current.group() != requested.group()
            && requested.listVersion().isNewerThan(current.listVersion()));
  }

  /** Returns the list versions for which routers with a lease hold different contents. */
  public List<ListFork> findForks(Moment now) {
    Map<ListVersion, Map<Long, List<String>>> namesByContent = new TreeMap<>();
    reports.forEach(
        (router, report) -> {
          if (report.digest() != 0 && leases.hasLease(router, now)) {
            namesByContent
                .computeIfAbsent(report.listVersion(), at -> new TreeMap<>())
                .computeIfAbsent(report.digest(), digest -> new ArrayList<>())
                .add(router);
          }
        });
    return namesByContent.entrySet().stream()
        .filter(entry -> entry.getValue().size() > 1)
        .map(entry -> new ListFork(entry.getKey(), entry.getValue()))
        .toList();
  }

  /** Returns the router's last report, or {@link HeartbeatReport#NONE} if there is none. */
  public HeartbeatReport lastReport(String router) {
    return reports.getOrDefault(router, HeartbeatReport.NONE);
  }

  /** Returns the agreement of the router's last reported list with the others'. */
  public ListAgreement assessAgreement(String router, Moment now, VersionRegister register) {
    return assessAgreement(lastReport(router), now, register);
  }
}
