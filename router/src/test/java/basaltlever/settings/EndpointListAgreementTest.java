package basaltlever.settings;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.gateway.EndpointLifecycle;
import basaltlever.membership.GroupAssignment;
import basaltlever.membership.HeartbeatReport;
import basaltlever.membership.ListAgreement;
import basaltlever.membership.ListAnomaly;
import basaltlever.membership.ListVersion;
import basaltlever.membership.ListedEndpoint;
import basaltlever.membership.MembershipCoordinator;
import basaltlever.membership.MembershipUpdate;
import basaltlever.membership.MembershipView;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.Example;

/**
 * Lists in virtual time: each router has a discovery of its own that is late, goes back, empties,
 * shrinks or tells another thing than the others'; members drain, come and go and move between
 * groups. The judge are the members, which see who comes for which group, and the truth of which
 * discovery tells.
 */
class EndpointListAgreementTest {
  private static final long UNCONTESTED_MICROS = 1_000_000;
  private static final Span ASSIGNMENT_VALIDITY = Span.ofMillis(3_000);

  /** An execution that was begun before a router let go of a member is over by then. */
  private static final Span MAX_ATTEMPT_DURATION = Span.ofMillis(1_600);

  private static final long FAULTS_END_MICROS = 14_000_000;

  /** What came to a member. */
  private static final class EndpointState {
    int group;
    EndpointLifecycle lifecycle = EndpointLifecycle.READY;
    int plannedMoves;
    int observedMoves;
    int lastServedGroup = -1;
    long readyListsDeliveredBy;

    /** By group, of which process. */
    final Map<Integer, Map<String, Integer>> inFlight =
        new HashMap<>(Map.of(1, new HashMap<>(), 2, new HashMap<>()));
  }

  private record Drain(
      String endpoint, long generation, long receivedAt, VirtualFleet.Router receiver) {}

  private static final class RouterState {
    MembershipView view;
    final Map<String, Integer> inFlight = new HashMap<>();
    long startedAt;
    boolean isDiscoveryLate;
    long disconnectedUntil;
  }

  private static final class ListFleet extends VirtualFleet {
    final Map<String, EndpointState> endpoints = new TreeMap<>();
    final List<RouterState> routerStates = new ArrayList<>();
    final Map<Leader, MembershipCoordinator> coordinators = new HashMap<>();
    final List<Drain> drains = new ArrayList<>();
    final List<Map<String, ListedEndpoint>> listHistory = new ArrayList<>();

    /** Far from where one that lost its state begins: nobody could tell the two rows apart else. */
    long generation = 1_000;

    /** Of the oldest list that is remembered. */
    long oldestGeneration = generation;

    long generationRestarts;
    int endpointsCreated;
    int clearedMoves;
    int anomalousLists;

    ListFleet(long seed, Bug bug, int routerCount) {
      super(seed, bug, routerCount);
      hasStableLeader = seed % 2 == 1;
      for (int i = 0; i < 8; i++) {
        EndpointState endpoint = new EndpointState();
        endpoint.group = 1 + i % 2;
        endpoints.put("m" + endpointsCreated++, endpoint);
      }
      for (VirtualFleet.Router router : routers) {
        RouterState state = new RouterState();
        routerStates.add(state);
        startProcess(router);
        schedule(random.nextInt(20_000), () -> useEndpoints(router));
      }
      listHistory.add(actualList());
      for (Leader leader : leaders) {
        if (!coordinators.containsKey(leader)) {
          onElected(leader);
        }
      }
      schedule(700_000, this::changeEndpoints);
    }

    RouterState stateOf(VirtualFleet.Router router) {
      return routerStates.get(router.number);
    }

    void startProcess(VirtualFleet.Router router) {
      RouterState state = stateOf(router);
      state.view =
          new MembershipView(
              Span.ofMillis(UNCONTESTED_MICROS / 1_000),
              bug == Bug.ASSIGNMENTS_NEVER_EXPIRE
                  ? ASSIGNMENT_VALIDITY.times(1_000)
                  : ASSIGNMENT_VALIDITY);
      state.inFlight.clear();
      state.startedAt = now + 120_000;
      long incarnation = router.incarnation;
      schedule(120_000, () -> deliverList(router, incarnation, actualList(), generation));
    }

    @Override
    void onRestart(VirtualFleet.Router router) {
      startProcess(router);
    }

    @Override
    void onElected(Leader leader) {
      if (routerStates == null) {
        // Before this run's own parts exist.
        return;
      }
      List<String> names = new ArrayList<>();
      for (int i = 0; i < routers.size(); i++) {
        names.add("r" + i);
      }
      MembershipCoordinator coordinator =
          coordinators.computeIfAbsent(
              leader,
              l ->
                  new MembershipCoordinator(
                      l.leases, names, ASSIGNMENT_VALIDITY.plus(MAX_ATTEMPT_DURATION)));
      coordinator.startLeading(clock(leader), 1 + eventCount++);
    }

    @Override
    HeartbeatReport createReport(VirtualFleet.Router router) {
      RouterState state = stateOf(router);
      HeartbeatReport report =
          state.view.createReport(
              clock(router),
              endpoint ->
                  bug == Bug.RELEASED_WHILE_IN_FLIGHT
                      || state.inFlight.getOrDefault(endpoint, 0) == 0);
      return bug != Bug.DRAIN_MARKS_NOT_REPORTED
          ? report
          : new HeartbeatReport(
              report.listVersion(),
              report.digest(),
              report.anomaly(),
              List.of(),
              0,
              report.requestedAssignments(),
              report.releasedEndpoints(),
              report.coordinatorTerm(),
              report.readPosition(),
              report.assignmentChangeNumber());
    }

    @Override
    MembershipUpdate createUpdate(
        Leader leader, VirtualFleet.Router router, HeartbeatReport report) {
      MembershipUpdate update =
          coordinators
              .get(leader)
              .answerHeartbeat(clock(leader), "r" + router.number, report, registerOf(leader));
      return bug != Bug.MOVE_USED_BEFORE_CLEARED
          ? update
          : new MembershipUpdate(
              update.coordinatorTerm(),
              update.readPosition(),
              update.drainMarks(),
              update.drainMarksEnd(),
              update.agreement(),
              update.listVersion(),
              update.digest(),
              update.era(),
              update.assignmentChangeNumber(),
              update.assignments().stream()
                  .map(
                      assignment ->
                          new GroupAssignment(
                              assignment.endpoint(),
                              assignment.group(),
                              assignment.listVersion(),
                              true))
                  .toList());
    }

    @Override
    void onLeaseGranted(VirtualFleet.Router router) {
      stateOf(router).view.extendLease(router.lease.leaseEnd());
    }

    @Override
    void receiveUpdate(VirtualFleet.Router router, MembershipUpdate update) {
      RouterState state = stateOf(router);
      if (update != null && now >= state.startedAt) {
        state.view.receiveUpdate(clock(router), update);
        if (state.view.isListOutdated()) {
          long incarnation = router.incarnation;
          schedule(10_000, () -> deliverList(router, incarnation, actualList(), generation));
        }
      }
    }

    @Override
    void applyMembershipStep(Leader leader) {
      MembershipCoordinator.Step step = coordinators.get(leader).nextStep(clock(leader), register);
      switch (step.kind()) {
        case ASSIGN -> {
          for (GroupAssignment assignment : step.assignments()) {
            register.assignGroup(
                assignment.endpoint(), assignment.group(), assignment.listVersion());
            if (bug == Bug.MOVE_CLEARED_BEFORE_RELEASED) {
              register.clearAssignment(assignment.endpoint());
            }
          }
        }
        case CLEAR -> {
          for (GroupAssignment assignment : step.assignments()) {
            clearedMoves += register.clearAssignment(assignment.endpoint()) ? 1 : 0;
          }
        }
        case START_NEW_ERA -> register.startNewEra(register.era());
        default -> {}
      }
    }

    Map<String, ListedEndpoint> actualList() {
      Map<String, ListedEndpoint> list = new TreeMap<>();
      endpoints.forEach(
          (name, endpoint) -> {
            if (endpoint.lifecycle != EndpointLifecycle.GONE) {
              list.put(name, new ListedEndpoint(endpoint.lifecycle, endpoint.group));
            }
          });
      return list;
    }

    EndpointState pickEndpoint() {
      List<EndpointState> listed =
          endpoints.values().stream()
              .filter(endpoint -> endpoint.lifecycle != EndpointLifecycle.GONE)
              .toList();
      return listed.get(random.nextInt(listed.size()));
    }

    void changeEndpoints() {
      if (now > FAULTS_END_MICROS) {
        generation++;
        routers.forEach(
            router -> deliverList(router, router.incarnation, actualList(), generation));
        if (now < FAULTS_END_MICROS + 3_000_000) {
          // Once more behind what was late.
          schedule(3_000_000, this::changeEndpoints);
        }
        return;
      }
      schedule(400_000 + random.nextInt(900_000), this::changeEndpoints);
      long readyCount =
          endpoints.values().stream()
              .filter(endpoint -> endpoint.lifecycle == EndpointLifecycle.READY)
              .count();
      String drained = "";
      EndpointState endpoint = pickEndpoint();
      switch (random.nextInt(6)) {
        case 0, 1 -> {
          if (readyCount > 5 && endpoint.lifecycle == EndpointLifecycle.READY) {
            endpoint.lifecycle = EndpointLifecycle.DRAINING;
            drained =
                endpoints.entrySet().stream()
                    .filter(entry -> entry.getValue() == endpoint)
                    .findFirst()
                    .orElseThrow()
                    .getKey();
          }
        }
        case 2 ->
            endpoints.values().stream()
                .filter(
                    drainingEndpoint -> drainingEndpoint.lifecycle == EndpointLifecycle.DRAINING)
                .findFirst()
                .ifPresent(
                    drainingEndpoint -> {
                      drainingEndpoint.lifecycle = EndpointLifecycle.READY;
                      drainingEndpoint.readyListsDeliveredBy = now + 2_500_000;
                    });
        case 3 -> {
          endpoint.group = 3 - endpoint.group;
          endpoint.plannedMoves++;
        }
        case 4 -> {
          if (endpoints.size() < 14) {
            EndpointState drainedEndpoint = new EndpointState();
            drainedEndpoint.group = 1 + random.nextInt(2);
            endpoints.put("m" + endpointsCreated++, drainedEndpoint);
          }
        }
        default -> {
          if (readyCount > 5 && endpoint.lifecycle == EndpointLifecycle.READY) {
            endpoint.lifecycle = EndpointLifecycle.GONE;
          }
        }
      }
      if (random.nextInt(30) == 0) {
        // It loses its state and counts anew, for everybody.
        generation = 0;
        generationRestarts++;
        drains.clear();
        listHistory.clear();
        oldestGeneration = 1;
      }
      generation++;
      listHistory.add(actualList());
      for (VirtualFleet.Router router : routers) {
        RouterState state = stateOf(router);
        state.isDiscoveryLate = router.number % 3 == 2 && random.nextInt(2) == 0;
        long delayMicros =
            state.isDiscoveryLate ? random.nextInt(2_500_000) : 2_000 + random.nextInt(40_000);
        long incarnation = router.incarnation;
        Map<String, ListedEndpoint> list = listFromDiscovery(router);
        long listGeneration = generation;
        String drainedEndpoint = drained;
        long restartsBefore = generationRestarts;
        schedule(
            delayMicros,
            () -> {
              if (restartsBefore != generationRestarts) {
                return;
              }
              deliverList(router, incarnation, list, listGeneration);
              if (!drainedEndpoint.isEmpty()
                  && list.get(drainedEndpoint) != null
                  && router.incarnation == incarnation
                  && list.get(drainedEndpoint).lifecycle() == EndpointLifecycle.DRAINING) {
                long receivedAt = now;
                schedule(
                    LEASE_DURATION.micros() + 20_000,
                    () -> {
                      // Its lease is from a beat that it sent after it was told: the leader knows.
                      if (!router.lease.isRestricted()
                          && router.incarnation == incarnation
                          && router.pausedUntil < receivedAt
                          && restartsBefore == generationRestarts
                          && state.view.latestVersion().equals(state.view.acceptedVersion())) {
                        drains.add(new Drain(drainedEndpoint, listGeneration, receivedAt, router));
                      }
                    });
              }
            });
      }
    }

    /** One router in some is told another thing under the same generation. */
    Map<String, ListedEndpoint> listFromDiscovery(VirtualFleet.Router router) {
      Map<String, ListedEndpoint> list = new TreeMap<>(actualList());
      if (router.number == 1 && routers.size() > 3 && random.nextInt(4) == 0) {
        list.put("ghost" + random.nextInt(3), new ListedEndpoint(EndpointLifecycle.READY, 1));
        list.replaceAll(
            (name, listed) ->
                new ListedEndpoint(
                    EndpointLifecycle.READY,
                    random.nextInt(5) == 0 ? 3 - listed.group() : listed.group()));
      }
      return list;
    }

    void deliverList(
        VirtualFleet.Router router,
        long incarnation,
        Map<String, ListedEndpoint> list,
        long listGeneration) {
      RouterState state = stateOf(router);
      if (router.incarnation == incarnation && now < router.pausedUntil) {
        // It reads what had come once it goes on.
        long restartsBefore = generationRestarts;
        schedule(
            router.pausedUntil - now + 1,
            () -> {
              if (restartsBefore == generationRestarts) {
                deliverList(router, incarnation, list, listGeneration);
              }
            });
        return;
      }
      if (router.incarnation != incarnation || now < state.disconnectedUntil) {
        return;
      }
      ListVersion latestVersion = state.view.latestVersion();
      if (latestVersion.generation() > listGeneration
          && generationRestarts == 0
          && random.nextInt(3) > 0
          && now < FAULTS_END_MICROS) {
        return;
      }
      Moment clock = clock(router);
      int anomaly = now < FAULTS_END_MICROS ? random.nextInt(12) : 0;
      if (anomaly == 1) {
        state.view.receiveList(clock, true, listGeneration, Map.of());
        anomalousLists++;
      } else if (anomaly == 2) {
        Map<String, ListedEndpoint> shortList = new TreeMap<>(list);
        shortList.keySet().retainAll(list.keySet().stream().limit(2).toList());
        state.view.receiveList(clock, true, listGeneration, shortList);
        anomalousLists++;
      } else if (anomaly == 3 && listHistory.size() > 4) {
        int olderIndex = listHistory.size() - 2 - random.nextInt(3);
        state.view.receiveList(
            clock,
            true,
            bug == Bug.OLDER_LIST_ACCEPTED ? listGeneration + 1_000 : oldestGeneration + olderIndex,
            listHistory.get(olderIndex));
        anomalousLists++;
      }
      if (bug != Bug.OLDER_LIST_ACCEPTED || anomaly != 3) {
        state.view.receiveList(clock, true, listGeneration, list);
      }
    }

    void useEndpoints(VirtualFleet.Router router) {
      schedule(10_000 + random.nextInt(20_000), () -> useEndpoints(router));
      RouterState state = stateOf(router);
      if (now < router.pausedUntil || now < state.startedAt) {
        return;
      }
      for (String name : state.view.endpoints()) {
        MembershipView.EndpointUse use = state.view.determineUse(clock(router), name);
        if (use.lifecycle() != EndpointLifecycle.READY || random.nextInt(3) > 0) {
          continue;
        }
        if (name.startsWith("ghost")) {
          violation = name + " was used at " + now + " us by r" + router.number;
          return;
        }
        state.inFlight.merge(name, 1, Integer::sum);
        Map<String, Integer> attemptsInFlight = state.inFlight;
        long incarnation = router.incarnation;
        long networkDelay = 500L + random.nextInt(10_000);
        long executionTime = 1_000L + random.nextInt(random.nextInt(5) == 0 ? 1_500_000 : 20_000);
        String process = router.number + " " + incarnation;
        schedule(networkDelay, () -> startExecution(name, use.group(), router.number, process));
        schedule(
            networkDelay + executionTime,
            () -> endpoints.get(name).inFlight.get(use.group()).merge(process, -1, Integer::sum));
        schedule(
            networkDelay + executionTime,
            () -> {
              if (router.incarnation == incarnation) {
                attemptsInFlight.merge(name, -1, Integer::sum);
              }
            });
      }
    }

    void startExecution(String name, int group, int routerNumber, String process) {
      EndpointState endpoint = endpoints.get(name);
      if (endpoint.lastServedGroup != group) {
        endpoint.observedMoves += endpoint.lastServedGroup < 0 ? 0 : 1;
        endpoint.lastServedGroup = group;
      }
      endpoint.inFlight.get(group).merge(process, 1, Integer::sum);
      // What a process that was ended has left in a member is no use of it any more.
      boolean isUsedInOtherGroup =
          routers.stream()
              .anyMatch(
                  router ->
                      endpoint
                              .inFlight
                              .get(3 - group)
                              .getOrDefault(router.number + " " + router.incarnation, 0)
                          > 0);
      if (endpoint.observedMoves > endpoint.plannedMoves || isUsedInOtherGroup) {
        violation =
            name
                + " served two groups at "
                + now
                + " us, for "
                + group
                + " by r"
                + routerNumber
                + ", "
                + endpoint.observedMoves
                + " flips of "
                + endpoint.plannedMoves
                + " moves";
      }
    }

    @Override
    void checkInvariants() {
      super.checkInvariants();
      if (routers.stream().filter(router -> !router.lease.isRestricted()).count() < 2) {
        // Alone it is most: nobody is there to contradict what its discovery tells it.
        return;
      }
      for (Drain drain : drains) {
        if (now < drain.receivedAt + UNCONTESTED_MICROS
            || now > drain.receivedAt + UNCONTESTED_MICROS + 20_000
            || drain.receiver.lease.isRestricted()) {
          // Who was told and its leader, which both know, are not lost at once.
          continue;
        }
        for (VirtualFleet.Router router : routers) {
          RouterState state = stateOf(router);
          if (now >= router.pausedUntil
              && !router.lease.isRestricted()
              && state.view.determineUse(clock(router), drain.endpoint).lifecycle()
                  == EndpointLifecycle.READY
              && isStillDrained(drain)) {
            violation =
                drain.endpoint
                    + " is used at "
                    + now
                    + " us by r"
                    + router.number
                    + ", drained in "
                    + drain.generation
                    + ", told at "
                    + drain.receivedAt;
          }
        }
      }
      drains.removeIf(drain -> now > drain.receivedAt + UNCONTESTED_MICROS + 20_000);
    }

    /** Every list since has said so. */
    private boolean isStillDrained(Drain drain) {
      EndpointState endpoint = endpoints.get(drain.endpoint);
      return endpoint.lifecycle != EndpointLifecycle.READY
          && endpoint.readyListsDeliveredBy < drain.receivedAt;
    }

    String findFinalMismatch() {
      for (VirtualFleet.Router router : routers) {
        MembershipView view = stateOf(router).view;
        for (Map.Entry<String, ListedEndpoint> entry : actualList().entrySet()) {
          MembershipView.EndpointUse use = view.determineUse(clock(router), entry.getKey());
          if (use.lifecycle() != entry.getValue().lifecycle()
              || use.group() != entry.getValue().group()) {
            return "r"
                + router.number
                + " makes "
                + use
                + " of "
                + entry
                + " in the end: "
                + view.latestVersion()
                + " "
                + view.agreement()
                + " adrift "
                + view.isOutOfContact(clock(router));
          }
        }
      }
      return "";
    }

    @Override
    void injectFault() {
      if (now >= FAULTS_END_MICROS) {
        return;
      }
      super.injectFault();
      if (random.nextInt(12) == 0) {
        // From its voters and its discovery, and not from members and clients; longer than groups
        // hold.
        VirtualFleet.Router router = routers.get(random.nextInt(routers.size()));
        long disconnectedUntil = now + 6_000_000 + random.nextInt(3_000_000);
        stateOf(router).disconnectedUntil = disconnectedUntil;
        router.disconnectedUntil = disconnectedUntil;
        schedule(
            disconnectedUntil - now,
            () -> deliverList(router, router.incarnation, actualList(), generation));
      }
    }

    @Override
    void proposeVersion() {}
  }

  @Example
  void endpointsServeOneGroupAtATimeAndDrainsReachAllRouters() {
    int clearedMoves = 0;
    int anomalousLists = 0;
    for (int seed = 0; seed < 60; seed++) {
      ListFleet fleet = new ListFleet(seed, VirtualFleet.Bug.NONE, 4 + seed % 6);
      String violation = fleet.run(FAULTS_END_MICROS + 20_000_000);
      check(violation.isEmpty(), "seed " + seed + ": " + violation);
      check(fleet.findFinalMismatch().isEmpty(), "seed " + seed + ": " + fleet.findFinalMismatch());
      clearedMoves += fleet.clearedMoves;
      anomalousLists += fleet.anomalousLists;
    }
    check(
        clearedMoves > 60 && anomalousLists > 60,
        "members move, and odd lists come: " + clearedMoves + ", " + anomalousLists);
  }

  @Example
  void injectedBugsAreDetected() {
    for (VirtualFleet.Bug bug :
        EnumSet.range(
            VirtualFleet.Bug.DRAIN_MARKS_NOT_REPORTED, VirtualFleet.Bug.OLDER_LIST_ACCEPTED)) {
      boolean isDetected = false;
      for (int seed = 0; seed < 60 && !isDetected; seed++) {
        isDetected = !new ListFleet(seed, bug, 6).run(FAULTS_END_MICROS).isEmpty();
      }
      check(isDetected, bug + " was not found");
    }
  }

  private static Map<String, ListedEndpoint> list(EndpointLifecycle lifecycle, int group) {
    return Map.of(
        "m",
        new ListedEndpoint(lifecycle, group),
        "n",
        new ListedEndpoint(EndpointLifecycle.READY, 1));
  }

  private static MembershipUpdate update(
      long coordinatorTerm,
      long assignmentChangeNumber,
      HeartbeatReport report,
      ListAgreement agreement) {
    return new MembershipUpdate(
        coordinatorTerm,
        0,
        List.of(),
        report.drainMarksEnd(),
        agreement,
        report.listVersion(),
        report.digest(),
        0,
        assignmentChangeNumber,
        List.of(
            new GroupAssignment("m", 1, new ListVersion(0, 1), true),
            new GroupAssignment("n", 1, new ListVersion(0, 1), true)));
  }

  /**
   * What it wants of the list that it keeps was once told with the digest of one that it held off.
   */
  @Example
  void routerWithSuspendedListRequestsNoAssignments() {
    Moment now = new Moment(1_000_000);
    MembershipView view = new MembershipView(Span.ofMillis(1_000), ASSIGNMENT_VALIDITY);
    view.receiveList(now, true, 5, list(EndpointLifecycle.READY, 2));
    view.receiveUpdate(
        now, update(1, 1, view.createReport(now, endpoint -> true), ListAgreement.SEEN));
    check(
        view.createReport(now, endpoint -> true).requestedAssignments().size() == 1,
        "its list has a member elsewhere");
    check(
        view.receiveList(now, true, 4, list(EndpointLifecycle.READY, 1)) == ListAnomaly.BACK,
        "it goes back");
    check(
        view.createReport(now, endpoint -> true).requestedAssignments().isEmpty(),
        "and says nothing of groups");
  }

  @Example
  void restrictionsApplyImmediatelyAndPermissionsWaitForAgreement() {
    Moment now = new Moment(1_000_000);
    MembershipView view = new MembershipView(Span.ofMillis(1_000), ASSIGNMENT_VALIDITY);
    view.receiveList(now, true, 2, list(EndpointLifecycle.READY, 1));
    view.receiveUpdate(
        now, update(1, 1, view.createReport(now, endpoint -> true), ListAgreement.SEEN));
    view.extendLease(now);
    check(
        view.determineUse(now, "m").lifecycle() == EndpointLifecycle.READY,
        "settled, and in its seat");
    view.receiveList(now, true, 3, list(EndpointLifecycle.DRAINING, 1));
    check(view.determineUse(now, "m").lifecycle() == EndpointLifecycle.DRAINING, "at once");
    view.receiveList(now, true, 4, list(EndpointLifecycle.READY, 1));
    check(
        view.determineUse(now, "m").lifecycle() == EndpointLifecycle.DRAINING,
        "nobody has borne it out");
    view.receiveUpdate(
        now, update(1, 1, view.createReport(now, endpoint -> true), ListAgreement.DISPUTED));
    check(
        view.determineUse(now.plus(ASSIGNMENT_VALIDITY), "m").lifecycle()
            == EndpointLifecycle.DRAINING,
        "others hold another");
    view.receiveUpdate(
        now, update(1, 1, view.createReport(now, endpoint -> true), ListAgreement.SEEN));
    check(view.determineUse(now, "m").lifecycle() == EndpointLifecycle.READY, "most hold it");
    check(view.receiveList(now, true, 5, Map.of()) == ListAnomaly.EMPTY, "an empty one");
    check(
        view.determineUse(now, "m").lifecycle() == EndpointLifecycle.READY, "is used for nothing");
    check(
        view.determineUse(now.plus(ASSIGNMENT_VALIDITY.times(1.1)), "m").lifecycle()
            == EndpointLifecycle.DRAINING,
        "adrift");
  }
}
