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
 * The leader's view of all routers' endpoint lists. It passes drain marks between routers, judges
 * whether each router's list agrees with the others', and proposes group assignments and eras to
 * the voters.
 *
 * <p>Drain marks only restrict and may be passed on without a vote. Group assignments and eras also
 * allow something, so they take effect only as commands of the consensus log.
 */
public final class MembershipCoordinator {
  private static final int MAX_ASSIGNMENTS_PER_STEP = 500;

  /** At most one new era in so many lease durations. */
  private static final int MIN_ERA_DURATION_LEASES = 5;

  /** Share of a lease duration for which a count of the reported lists is reused. */
  private static final double RECOUNT_INTERVAL_LEASES = 0.1;

  /** The next command that the leader has to propose to the voters. */
  public record Step(Kind kind, List<GroupAssignment> assignments) {
    /** What the command does. */
    public enum Kind {
      /** Nothing is due. */
      NOTHING,
      /** Endpoints are assigned to groups. */
      ASSIGN,
      /** Endpoints may be used in their new groups. */
      CLEAR,
      /** Endpoint lists belong to a new era. */
      START_NEW_ERA
    }

    static final Step NOTHING = new Step(Kind.NOTHING, List.of());
  }

  /**
   * Different lists under one version.
   *
   * @param listVersion the version
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

  /** Routers that have stopped using a moving endpoint, by the endpoint. */
  private final Map<String, Set<String>> releasedBy = new HashMap<>();

  private Moment leadingSince = Moment.LONG_AGO;
  private Moment lastEraChangeAt = Moment.LONG_AGO;

  /** Number of routers with a lease that hold each list, as of the last count. */
  private Map<ListContent, Integer> holders = Map.of();

  private int leasedRouters;
  private Moment countedAt = Moment.LONG_AGO;

  /**
   * Creates the coordinator of a voter that does not lead yet.
   *
   * @param leases the leader's leases
   * @param routers names of all routers of the fleet
   * @param assignmentValidity how long a router without contact to the leader may go on using
   *     endpoints in the groups that it knows, its longest attempt included
   */
  public MembershipCoordinator(
      LeaseTable leases, Collection<String> routers, Span assignmentValidity) {
    this.leases = leases;
    this.routers = routers;
    this.assignmentValidity = assignmentValidity;
    this.reporters = new ListReporters(routers);
  }

  /** This voter leads from now on, with an empty state under a term that no other leader has. */
  public void startLeading(Moment now, long term) {
    reports.clear();
    releasedBy.clear();
    drainMarks.startTerm(term);
    reporters.clear();
    leadingSince = now;
    countedAt = Moment.LONG_AGO;
  }

  /** Records the report that came with a router's heartbeat and answers it. */
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
        register.assignmentsNumber(),
        register.assignmentsAfter(report.assignmentsNumber()));
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
    // Routers that this leader has not heard from yet count as well.
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
    // While most routers have not reported yet, the absence of objections means nothing.
    return 2 * leasedRouters > routerCount ? ListAgreement.AHEAD : ListAgreement.UNTOLD;
  }

  private int countHoldersOfNewer(ListVersion version) {
    return holders.entrySet().stream()
        .filter(entry -> entry.getKey().version().isNewerThan(version))
        .mapToInt(Map.Entry::getValue)
        .sum();
  }

  /** Whether this voter surely leads and no lease of its predecessor runs any more. */
  private boolean hasSoleAuthority(Moment now) {
    return !leases.canFormerLeasesRun(now) && leases.isConfirmed(now);
  }

  /** Counting at every heartbeat would cost the square of the number of routers. */
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

  /** The next command for the voters: a new era before cleared endpoints before assignments. */
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
   * Whether most routers hold a list that is older than what they held or than what was agreed on
   * before, so that discovery must have restarted its generations.
   */
  private boolean isNewEraDue(Moment now, List<HeartbeatReport> leased, VersionRegister register) {
    // Not often: if discovery announces a generation far too high by mistake, every new era makes
    // all routers fetch their lists again.
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
      // A router that started since had no newer list to regress from.
      outdated += report.digest() != 0 && newestAgreed.isNewerThan(report.listVersion()) ? 1 : 0;
    }
    int routerCount = Math.max(leased.size(), register.inForce().routers());
    return 2 * Math.max(regressed, outdated) > routerCount;
  }

  /** A version reported by few routers does not count: their discovery may be wrong. */
  private ListVersion newestAgreedVersion(VersionRegister register) {
    Stream<ListVersion> assigned =
        allAssignments(register).stream().map(GroupAssignment::listVersion);
    return Stream.concat(assigned, reporters.versionsReportedByMajority())
        .max(Comparator.naturalOrder())
        .orElse(ListVersion.NONE);
  }

  private static List<GroupAssignment> allAssignments(VersionRegister register) {
    return register.assignmentsAfter(-1);
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
   * Whether a router has been out of contact for so long that it uses no endpoint by what it knew.
   * One that has released an endpoint needs no such wait: it does not use the endpoint again before
   * the move is cleared, and a new process under its name learns of the move before its first act.
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

  /** The assignments by lists that most routers have reported, by endpoint. */
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

  /** List versions under which routers with a lease hold different contents. */
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

  /** The router's last report; {@link HeartbeatReport#NONE} where there is none. */
  public HeartbeatReport lastReport(String router) {
    return reports.getOrDefault(router, HeartbeatReport.NONE);
  }

  /** How the router's last reported list agrees with the others'. */
  public ListAgreement assessAgreement(String router, Moment now, VersionRegister register) {
    return assessAgreement(lastReport(router), now, register);
  }
}
