package basaltlever.membership;

import static basaltlever.membership.SettledList.stricter;

import basaltlever.gateway.EndpointLifecycle;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Determines which endpoints one router may use and in which group, from its own lists and the
 * updates of the leader.
 *
 * <p>Restrictions in any router's list take effect immediately. Permissions in a list take effect
 * once most routers hold the same list, or once no router has contradicted it for a given time. A
 * list that is older than the last accepted one, empty or much shorter is suspended: the endpoints
 * that it names as draining or gone are restricted, and the rest of it is not used.
 */
public final class MembershipView {
  private static final int MAX_REQUESTED_PER_HEARTBEAT = 500;

  /** Assignment number of a router that has not received any assignments yet. */
  private static final long NO_ASSIGNMENTS = -1;

  /**
   * Permitted use of an endpoint.
   *
   * @param lifecycle whether the endpoint may receive new statements
   * @param group group in which the endpoint may be used
   */
  public record EndpointUse(EndpointLifecycle lifecycle, int group) {}

  private final Span uncontestedDuration;
  private final Span assignmentValidity;

  /** The last list from discovery, whether suspended or not; null before the first. */
  private ReceivedEndpointList latest;

  private ListAnomaly anomaly = ListAnomaly.NONE;

  /** The last list that was not suspended. */
  private ReceivedEndpointList accepted = ReceivedEndpointList.none();

  private final SettledList settled = new SettledList();
  private final DrainMarks drainMarks = new DrainMarks();
  private final Map<String, GroupAssignment> assignments = new TreeMap<>();
  private long assignmentChangeNumber = NO_ASSIGNMENTS;

  private long coordinatorTerm;
  private long readPosition;
  private long era;
  private Moment lastLeaseEnd = Moment.LONG_AGO;
  private long revision;

  /**
   * Creates the view of a router that has received no list yet.
   *
   * @param uncontestedDuration time without contradiction by another router after which the
   *     permissions of a list take effect
   * @param assignmentValidity how long a router without contact to the leader may continue to use
   *     endpoints in the groups last assigned to them
   */
  public MembershipView(Span uncontestedDuration, Span assignmentValidity) {
    this.uncontestedDuration = uncontestedDuration;
    this.assignmentValidity = assignmentValidity;
  }

  /**
   * Applies a list from discovery.
   *
   * @param isComplete true if the entries are the complete list, false if only the changed ones
   * @return the reason for suspending the list
   */
  public ListAnomaly receiveList(
      Moment now, boolean isComplete, long generation, Map<String, ListedEndpoint> entries) {
    TreeMap<String, ListedEndpoint> list =
        isComplete || latest == null ? new TreeMap<>() : new TreeMap<>(latest.entries());
    list.putAll(entries);
    revision++;
    latest = new ReceivedEndpointList(list, new ListVersion(era, generation), now);
    boolean isOlder =
        accepted.version().era() == era && generation < accepted.version().generation();
    anomaly = isOlder ? ListAnomaly.BACK : latest.anomalyComparedWith(accepted);
    applyLatest();
    return anomaly;
  }

  private void applyLatest() {
    if (anomaly != ListAnomaly.BACK) {
      // Applies to empty and short lists as well: missing entries do not make the others wrong.
      addMarksOfLatest();
    }
    if (anomaly == ListAnomaly.NONE) {
      acceptLatest();
    }
  }

  private void addMarksOfLatest() {
    latest
        .entries()
        .forEach(
            (endpoint, entry) -> {
              if (entry.lifecycle() != EndpointLifecycle.READY) {
                boolean isGone = entry.lifecycle() == EndpointLifecycle.GONE;
                addOwnMark(new DrainMark(endpoint, latest.version(), isGone));
              }
            });
  }

  private void acceptLatest() {
    revision++;
    for (String endpoint : accepted.entries().keySet()) {
      if (!latest.entries().containsKey(endpoint)) {
        addOwnMark(new DrainMark(endpoint, latest.version(), true));
      }
    }
    accepted = latest;
    settled.add(accepted);
  }

  private void addOwnMark(DrainMark mark) {
    revision += drainMarks.addOwn(mark) ? 1 : 0;
  }

  /** Applies an update of the leader; must be called before the lease received with it is used. */
  public void receiveUpdate(Moment now, MembershipUpdate update) {
    readDrainMarks(update);
    readAssignments(update);
    // Lists of a former era can't be compared with new ones, so discovery has to send the list
    // again.
    era = Math.max(era, update.era());
    if (latest != null && isForList(update, latest)) {
      latest.updateAgreement(now, update.agreement());
      resumeIfConfirmed(now);
    }
    revision += settled.settle(now, latest, uncontestedDuration);
  }

  private void readDrainMarks(MembershipUpdate update) {
    if (update.coordinatorTerm() != coordinatorTerm) {
      coordinatorTerm = update.coordinatorTerm();
      readPosition = 0;
      drainMarks.resendAll();
    } else {
      drainMarks.acknowledge(update.drainMarksEnd());
    }
    for (DrainMark mark : update.drainMarks()) {
      revision += drainMarks.addReceived(mark) ? 1 : 0;
    }
    readPosition = Math.max(readPosition, update.readPosition());
  }

  private void readAssignments(MembershipUpdate update) {
    // A leader that was replaced without noticing sends an older table, which is ignored.
    if (update.assignmentChangeNumber() > assignmentChangeNumber) {
      for (GroupAssignment assignment : update.assignments()) {
        assignments.put(assignment.endpoint(), assignment);
      }
      assignmentChangeNumber = update.assignmentChangeNumber();
      revision++;
    }
  }

  private static boolean isForList(MembershipUpdate update, ReceivedEndpointList list) {
    return update.listVersion().equals(list.version()) && update.digest() == list.digest();
  }

  /**
   * Accepts a suspended list that most routers have held for the required time. An older list has
   * to be held that long, because within that time the voters would start a new era if discovery
   * had lost its state.
   */
  private void resumeIfConfirmed(Moment now) {
    boolean canResume = anomaly == ListAnomaly.SHRUNK || anomaly == ListAnomaly.BACK;
    if (canResume && latest.isHeldByMajorityLongerThan(uncontestedDuration, now)) {
      anomaly = ListAnomaly.NONE;
      applyLatest();
    }
  }

  /** Records a lease until the given time, which proves contact to the leader. */
  public void extendLease(Moment leaseEnd) {
    lastLeaseEnd = lastLeaseEnd.later(leaseEnd);
  }

  /** Whether the router has been out of contact so long that endpoints may have changed groups. */
  public boolean isOutOfContact(Moment now) {
    return assignmentChangeNumber < 0 || now.since(lastLeaseEnd).isLongerThan(assignmentValidity);
  }

  /** Returns a number that changes whenever the permitted use of an endpoint may have changed. */
  public long revision(Moment now) {
    return 2 * revision + (isOutOfContact(now) ? 1 : 0);
  }

  /** Returns all endpoints of the current lists, whether they may be used or not. */
  public Set<String> endpoints() {
    Set<String> endpoints = new TreeSet<>(accepted.entries().keySet());
    settled.addEndpointsTo(endpoints);
    return endpoints;
  }

  /**
   * Returns the permitted use of the endpoint: the strictest by its lists, marks and assignment.
   */
  public EndpointUse determineUse(Moment now, String endpoint) {
    ListedEndpoint entry = accepted.entries().get(endpoint);
    GroupAssignment assignment = assignments.get(endpoint);
    EndpointLifecycle lifecycle = restrictByMark(endpoint, restrictByLists(endpoint, entry));
    if (!isAssigned(entry, assignment) || isOutOfContact(now)) {
      lifecycle = stricter(lifecycle, EndpointLifecycle.DRAINING);
    }
    return new EndpointUse(lifecycle, groupOf(entry, assignment));
  }

  private EndpointLifecycle restrictByLists(String endpoint, ListedEndpoint entry) {
    EndpointLifecycle own = entry == null ? EndpointLifecycle.GONE : entry.lifecycle();
    EndpointLifecycle lifecycle = settled.restrict(endpoint, own);
    // An older list produces no drain marks for other routers, but restricts this one.
    boolean isInOlderList = anomaly == ListAnomaly.BACK && latest.entries().containsKey(endpoint);
    return isInOlderList
        ? stricter(lifecycle, latest.entries().get(endpoint).lifecycle())
        : lifecycle;
  }

  private EndpointLifecycle restrictByMark(String endpoint, EndpointLifecycle lifecycle) {
    DrainMark mark = drainMarks.get(endpoint);
    // A mark is revoked only by a newer list, and only once that list is settled.
    if (mark == null || settled.version().isNewerThan(mark.listVersion())) {
      return lifecycle;
    }
    return stricter(lifecycle, mark.gone() ? EndpointLifecycle.GONE : EndpointLifecycle.DRAINING);
  }

  /**
   * Whether the agreed group equals the listed one and is cleared for use. The groups differ if
   * this router's list is outdated or newer than the agreement; then the endpoint is not used at
   * all.
   */
  private static boolean isAssigned(ListedEndpoint entry, GroupAssignment assignment) {
    return assignment != null
        && assignment.cleared()
        && (entry == null || entry.group() == assignment.group());
  }

  private static int groupOf(ListedEndpoint entry, GroupAssignment assignment) {
    if (assignment != null) {
      return assignment.group();
    }
    return entry == null ? 0 : entry.group();
  }

  /**
   * Whether the router's list names a group for the endpoint that the voters have not agreed on.
   */
  private boolean isAssignmentMissing(String endpoint, ListedEndpoint entry) {
    GroupAssignment current = assignments.get(endpoint);
    return current == null
        || (current.cleared()
            && entry.group() != current.group()
            && accepted.version().isNewerThan(current.listVersion()));
  }

  /**
   * Creates the report for the next heartbeat.
   *
   * @param isIdle whether this router has no attempt in flight at the given endpoint
   */
  public HeartbeatReport createReport(Moment now, Predicate<String> isIdle) {
    List<DrainMark> marks = drainMarks.nextBatch();
    return new HeartbeatReport(
        latestVersion(),
        latest == null ? 0 : latest.digest(),
        anomaly,
        marks,
        drainMarks.batchEnd(marks),
        requestedAssignments(),
        releasedEndpoints(isIdle),
        coordinatorTerm,
        readPosition,
        assignmentChangeNumber);
  }

  /** Returns none while the latest list is suspended, as the report has that list's digest. */
  private List<GroupAssignment> requestedAssignments() {
    if (assignmentChangeNumber < 0 || anomaly != ListAnomaly.NONE) {
      return List.of();
    }
    List<GroupAssignment> requested = new ArrayList<>();
    for (Map.Entry<String, ListedEndpoint> entry : accepted.entries().entrySet()) {
      if (requested.size() == MAX_REQUESTED_PER_HEARTBEAT) {
        break;
      }
      ListedEndpoint listed = entry.getValue();
      if (listed.lifecycle() != EndpointLifecycle.GONE
          && isAssignmentMissing(entry.getKey(), listed)) {
        requested.add(
            new GroupAssignment(entry.getKey(), listed.group(), accepted.version(), false));
      }
    }
    return requested;
  }

  /** Returns the endpoints that are changing groups and that this router has stopped using. */
  private List<String> releasedEndpoints(Predicate<String> isIdle) {
    return assignments.values().stream()
        .filter(assignment -> !assignment.cleared())
        .map(GroupAssignment::endpoint)
        .filter(isIdle)
        .toList();
  }

  /** Whether all permissions of the router's own list are settled and agreed on. */
  public boolean isSettled() {
    return latest != null
        && anomaly == ListAnomaly.NONE
        && settled.isCurrent()
        && accepted.entries().entrySet().stream()
            .noneMatch(entry -> isAssignmentMissing(entry.getKey(), entry.getValue()));
  }

  /** Whether the latest list belongs to a former era, so that discovery has to send it again. */
  public boolean isListOutdated() {
    return latest != null && latest.version().era() < era;
  }

  /** Returns the era of the current endpoint lists. */
  public long era() {
    return era;
  }

  /** Returns the agreement of the latest list with the other routers' lists. */
  public ListAgreement agreement() {
    return latest == null ? ListAgreement.UNTOLD : latest.agreement();
  }

  /** Returns the version of the last list that was not suspended. */
  public ListVersion acceptedVersion() {
    return accepted.version();
  }

  /** Returns the version of the latest list, whether suspended or not. */
  public ListVersion latestVersion() {
    return latest == null ? ListVersion.NONE : latest.version();
  }
}
