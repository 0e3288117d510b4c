package basaltlever.settings;

import static basaltlever.StandIn.check;

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
  private static final long STATED = 1_000_000;
  private static final Span ASSIGNED = Span.ofMillis(3_000);

  /** An execution that was begun before a router let go of a member is over by then. */
  private static final Span LONGEST = Span.ofMillis(1_600);

  private static final long FAULTS_END = 14_000_000;

  /** What came to a member. */
  private static final class EndpointState {
    int group;
    EndpointLifecycle lifecycle = EndpointLifecycle.READY;
    int moves;
    int groupChanges;
    int lastGroup = -1;
    long readyAt;

    /** By group, of which process. */
    final Map<Integer, Map<String, Integer>> inFlight =
        new HashMap<>(Map.of(1, new HashMap<>(), 2, new HashMap<>()));
  }

  private record Drain(String member, long generation, long at, VirtualFleet.Router by) {}

  private static final class RouterState {
    MembershipView view;
    final Map<String, Integer> inFlight = new HashMap<>();
    long startsAt;
    boolean late;
    long disconnectedUntil;
  }

  private static final class ListFleet extends VirtualFleet {
    final Map<String, EndpointState> members = new TreeMap<>();
    final List<RouterState> routerStates = new ArrayList<>();
    final Map<Leader, MembershipCoordinator> coordinators = new HashMap<>();
    final List<Drain> drains = new ArrayList<>();
    final List<Map<String, ListedEndpoint>> history = new ArrayList<>();

    /** Far from where one that lost its state begins: nobody could tell the two rows apart else. */
    long generation = 1_000;

    /** Of the oldest list that is remembered. */
    long base = generation;

    long eras;
    int names;
    int clearedMoves;
    int suspendedLists;

    ListFleet(long seed, Bug bug, int count) {
      super(seed, bug, count);
      keepsLeader = seed % 2 == 1;
      for (int i = 0; i < 8; i++) {
        EndpointState member = new EndpointState();
        member.group = 1 + i % 2;
        members.put("m" + names++, member);
      }
      for (VirtualFleet.Router router : routers) {
        RouterState own = new RouterState();
        routerStates.add(own);
        startProcess(router);
        after(random.nextInt(20_000), () -> useEndpoints(router));
      }
      history.add(truth());
      for (Leader leader : leaders) {
        if (!coordinators.containsKey(leader)) {
          onElected(leader);
        }
      }
      after(700_000, this::changeEndpoints);
    }

    RouterState stateOf(VirtualFleet.Router router) {
      return routerStates.get(router.number);
    }

    void startProcess(VirtualFleet.Router router) {
      RouterState own = stateOf(router);
      own.view =
          new MembershipView(
              Span.ofMillis(STATED / 1_000),
              bug == Bug.NEVER_ADRIFT ? ASSIGNED.times(1_000) : ASSIGNED);
      own.inFlight.clear();
      own.startsAt = now + 120_000;
      long incarnation = router.incarnation;
      after(120_000, () -> deliverList(router, incarnation, truth(), generation));
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
              leader, l -> new MembershipCoordinator(l.leases, names, ASSIGNED.plus(LONGEST)));
      coordinator.startLeading(clock(leader), 1 + eventCount++);
    }

    @Override
    HeartbeatReport report(VirtualFleet.Router router) {
      RouterState own = stateOf(router);
      HeartbeatReport report =
          own.view.report(
              clock(router),
              member -> bug == Bug.LETS_GO_EARLY || own.inFlight.getOrDefault(member, 0) == 0);
      return bug != Bug.MARKS_KEPT_TO_ITSELF
          ? report
          : new HeartbeatReport(
              report.listVersion(),
              report.digest(),
              report.anomaly(),
              List.of(),
              0,
              report.wantedAssignments(),
              report.releasedEndpoints(),
              report.coordinatorTerm(),
              report.readPosition(),
              report.assignmentsNumber());
    }

    @Override
    MembershipUpdate answer(Leader leader, VirtualFleet.Router router, HeartbeatReport report) {
      MembershipUpdate update =
          coordinators
              .get(leader)
              .heartbeat(clock(leader), "r" + router.number, report, knownTo(leader));
      return bug != Bug.MOVES_AT_ONCE
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
              update.assignmentsNumber(),
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
    void onLease(VirtualFleet.Router router) {
      stateOf(router).view.extendLease(router.lease.leaseEnds());
    }

    @Override
    void receiveUpdate(VirtualFleet.Router router, MembershipUpdate update) {
      RouterState own = stateOf(router);
      if (update != null && now >= own.startsAt) {
        own.view.receiveUpdate(clock(router), update);
        if (own.view.needsList()) {
          long incarnation = router.incarnation;
          after(10_000, () -> deliverList(router, incarnation, truth(), generation));
        }
      }
    }

    @Override
    void carryOutMembershipStep(Leader leader) {
      MembershipCoordinator.Step step = coordinators.get(leader).nextStep(clock(leader), register);
      switch (step.kind()) {
        case ASSIGN -> {
          for (GroupAssignment assignment : step.assignments()) {
            register.seat(assignment.endpoint(), assignment.group(), assignment.listVersion());
            if (bug == Bug.CLEARS_EARLY) {
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

    Map<String, ListedEndpoint> truth() {
      Map<String, ListedEndpoint> list = new TreeMap<>();
      members.forEach(
          (name, member) -> {
            if (member.lifecycle != EndpointLifecycle.GONE) {
              list.put(name, new ListedEndpoint(member.lifecycle, member.group));
            }
          });
      return list;
    }

    EndpointState pickEndpoint() {
      List<EndpointState> serving =
          members.values().stream().filter(one -> one.lifecycle != EndpointLifecycle.GONE).toList();
      return serving.get(random.nextInt(serving.size()));
    }

    void changeEndpoints() {
      if (now > FAULTS_END) {
        generation++;
        routers.forEach(router -> deliverList(router, router.incarnation, truth(), generation));
        if (now < FAULTS_END + 3_000_000) {
          // Once more behind what was late.
          after(3_000_000, this::changeEndpoints);
        }
        return;
      }
      after(400_000 + random.nextInt(900_000), this::changeEndpoints);
      long ready =
          members.values().stream().filter(one -> one.lifecycle == EndpointLifecycle.READY).count();
      String drained = "";
      EndpointState one = pickEndpoint();
      switch (random.nextInt(6)) {
        case 0, 1 -> {
          if (ready > 5 && one.lifecycle == EndpointLifecycle.READY) {
            one.lifecycle = EndpointLifecycle.DRAINING;
            drained =
                members.entrySet().stream()
                    .filter(entry -> entry.getValue() == one)
                    .findFirst()
                    .orElseThrow()
                    .getKey();
          }
        }
        case 2 ->
            members.values().stream()
                .filter(any -> any.lifecycle == EndpointLifecycle.DRAINING)
                .findFirst()
                .ifPresent(
                    any -> {
                      any.lifecycle = EndpointLifecycle.READY;
                      any.readyAt = now + 2_500_000;
                    });
        case 3 -> {
          one.group = 3 - one.group;
          one.moves++;
        }
        case 4 -> {
          if (members.size() < 14) {
            EndpointState member = new EndpointState();
            member.group = 1 + random.nextInt(2);
            members.put("m" + names++, member);
          }
        }
        default -> {
          if (ready > 5 && one.lifecycle == EndpointLifecycle.READY) {
            one.lifecycle = EndpointLifecycle.GONE;
          }
        }
      }
      if (random.nextInt(30) == 0) {
        // It loses its state and counts anew, for everybody.
        generation = 0;
        eras++;
        drains.clear();
        history.clear();
        base = 1;
      }
      generation++;
      history.add(truth());
      for (VirtualFleet.Router router : routers) {
        RouterState own = stateOf(router);
        own.late = router.number % 3 == 2 && random.nextInt(2) == 0;
        long late = own.late ? random.nextInt(2_500_000) : 2_000 + random.nextInt(40_000);
        long incarnation = router.incarnation;
        Map<String, ListedEndpoint> list = listFromDiscovery(router);
        long of = generation;
        String member = drained;
        long counted = eras;
        after(
            late,
            () -> {
              if (counted != eras) {
                return;
              }
              deliverList(router, incarnation, list, of);
              if (!member.isEmpty()
                  && list.get(member) != null
                  && router.incarnation == incarnation
                  && list.get(member).lifecycle() == EndpointLifecycle.DRAINING) {
                long told = now;
                after(
                    LEASE.micros() + 20_000,
                    () -> {
                      // Its lease is from a beat that it sent after it was told: the leader knows.
                      if (!router.lease.isRestricted()
                          && router.incarnation == incarnation
                          && router.pausedUntil < told
                          && counted == eras
                          && own.view.latestVersion().equals(own.view.takenVersion())) {
                        drains.add(new Drain(member, of, told, router));
                      }
                    });
              }
            });
      }
    }

    /** One router in some is told another thing under the same generation. */
    Map<String, ListedEndpoint> listFromDiscovery(VirtualFleet.Router router) {
      Map<String, ListedEndpoint> list = new TreeMap<>(truth());
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
        VirtualFleet.Router router, long incarnation, Map<String, ListedEndpoint> list, long of) {
      RouterState own = stateOf(router);
      if (router.incarnation == incarnation && now < router.pausedUntil) {
        // It reads what had come once it goes on.
        long counted = eras;
        after(
            router.pausedUntil - now + 1,
            () -> {
              if (counted == eras) {
                deliverList(router, incarnation, list, of);
              }
            });
        return;
      }
      if (router.incarnation != incarnation || now < own.disconnectedUntil) {
        return;
      }
      ListVersion at = own.view.latestVersion();
      if (at.generation() > of && eras == 0 && random.nextInt(3) > 0 && now < FAULTS_END) {
        return;
      }
      Moment clock = clock(router);
      int odd = now < FAULTS_END ? random.nextInt(12) : 0;
      if (odd == 1) {
        own.view.receiveList(clock, true, of, Map.of());
        suspendedLists++;
      } else if (odd == 2) {
        Map<String, ListedEndpoint> few = new TreeMap<>(list);
        few.keySet().retainAll(list.keySet().stream().limit(2).toList());
        own.view.receiveList(clock, true, of, few);
        suspendedLists++;
      } else if (odd == 3 && history.size() > 4) {
        int older = history.size() - 2 - random.nextInt(3);
        own.view.receiveList(
            clock,
            true,
            bug == Bug.OLDER_LIST_TAKEN ? of + 1_000 : base + older,
            history.get(older));
        suspendedLists++;
      }
      if (bug != Bug.OLDER_LIST_TAKEN || odd != 3) {
        own.view.receiveList(clock, true, of, list);
      }
    }

    void useEndpoints(VirtualFleet.Router router) {
      after(10_000 + random.nextInt(20_000), () -> useEndpoints(router));
      RouterState own = stateOf(router);
      if (now < router.pausedUntil || now < own.startsAt) {
        return;
      }
      for (String name : own.view.endpoints()) {
        MembershipView.EndpointUse use = own.view.use(clock(router), name);
        if (use.lifecycle() != EndpointLifecycle.READY || random.nextInt(3) > 0) {
          continue;
        }
        if (name.startsWith("ghost")) {
          violation = name + " was used at " + now + " us by r" + router.number;
          return;
        }
        own.inFlight.merge(name, 1, Integer::sum);
        Map<String, Integer> outs = own.inFlight;
        long incarnation = router.incarnation;
        long arrives = 500L + random.nextInt(10_000);
        long works = 1_000L + random.nextInt(random.nextInt(5) == 0 ? 1_500_000 : 20_000);
        String process = router.number + " " + incarnation;
        after(arrives, () -> arrive(name, use.group(), router.number, process));
        after(
            arrives + works,
            () -> members.get(name).inFlight.get(use.group()).merge(process, -1, Integer::sum));
        after(
            arrives + works,
            () -> {
              if (router.incarnation == incarnation) {
                outs.merge(name, -1, Integer::sum);
              }
            });
      }
    }

    void arrive(String name, int group, int by, String process) {
      EndpointState member = members.get(name);
      if (member.lastGroup != group) {
        member.groupChanges += member.lastGroup < 0 ? 0 : 1;
        member.lastGroup = group;
      }
      member.inFlight.get(group).merge(process, 1, Integer::sum);
      // What a process that was ended has left in a member is no use of it any more.
      boolean both =
          routers.stream()
              .anyMatch(
                  router ->
                      member
                              .inFlight
                              .get(3 - group)
                              .getOrDefault(router.number + " " + router.incarnation, 0)
                          > 0);
      if (member.groupChanges > member.moves || both) {
        violation =
            name
                + " served two groups at "
                + now
                + " us, for "
                + group
                + " by r"
                + by
                + ", "
                + member.groupChanges
                + " flips of "
                + member.moves
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
        if (now < drain.at + STATED
            || now > drain.at + STATED + 20_000
            || drain.by.lease.isRestricted()) {
          // Who was told and its leader, which both know, are not lost at once.
          continue;
        }
        for (VirtualFleet.Router router : routers) {
          RouterState own = stateOf(router);
          if (now >= router.pausedUntil
              && !router.lease.isRestricted()
              && own.view.use(clock(router), drain.member).lifecycle() == EndpointLifecycle.READY
              && isStillDrained(drain)) {
            violation =
                drain.member
                    + " is used at "
                    + now
                    + " us by r"
                    + router.number
                    + ", drained in "
                    + drain.generation
                    + ", told at "
                    + drain.at;
          }
        }
      }
      drains.removeIf(drain -> now > drain.at + STATED + 20_000);
    }

    /** Every list since has said so. */
    private boolean isStillDrained(Drain drain) {
      EndpointState member = members.get(drain.member);
      return member.lifecycle != EndpointLifecycle.READY && member.readyAt < drain.at;
    }

    String checkFinalState() {
      for (VirtualFleet.Router router : routers) {
        MembershipView membership = stateOf(router).view;
        for (Map.Entry<String, ListedEndpoint> entry : truth().entrySet()) {
          MembershipView.EndpointUse use = membership.use(clock(router), entry.getKey());
          if (use.lifecycle() != entry.getValue().lifecycle()
              || use.group() != entry.getValue().group()) {
            return "r"
                + router.number
                + " makes "
                + use
                + " of "
                + entry
                + " in the end: "
                + membership.latestVersion()
                + " "
                + membership.agreement()
                + " adrift "
                + membership.isOutOfContact(clock(router));
          }
        }
      }
      return "";
    }

    @Override
    void injectFault() {
      if (now >= FAULTS_END) {
        return;
      }
      super.injectFault();
      if (random.nextInt(12) == 0) {
        // From its voters and its discovery, and not from members and clients; longer than groups
        // hold.
        VirtualFleet.Router router = routers.get(random.nextInt(routers.size()));
        long until = now + 6_000_000 + random.nextInt(3_000_000);
        stateOf(router).disconnectedUntil = until;
        router.disconnectedUntil = until;
        after(until - now, () -> deliverList(router, router.incarnation, truth(), generation));
      }
    }

    @Override
    void proposeVersion() {}
  }

  @Example
  void membersServeOneGroupAtATimeAndDrainsAreKnownToAll() {
    int cleared = 0;
    int held = 0;
    for (int seed = 0; seed < 60; seed++) {
      ListFleet run = new ListFleet(seed, VirtualFleet.Bug.NONE, 4 + seed % 6);
      String broken = run.run(FAULTS_END + 20_000_000);
      check(broken.isEmpty(), "seed " + seed + ": " + broken);
      check(run.checkFinalState().isEmpty(), "seed " + seed + ": " + run.checkFinalState());
      cleared += run.clearedMoves;
      held += run.suspendedLists;
    }
    check(cleared > 60 && held > 60, "members move, and odd lists come: " + cleared + ", " + held);
  }

  @Example
  void plantedBugsAreFound() {
    for (VirtualFleet.Bug bug :
        EnumSet.range(VirtualFleet.Bug.MARKS_KEPT_TO_ITSELF, VirtualFleet.Bug.OLDER_LIST_TAKEN)) {
      boolean found = false;
      for (int seed = 0; seed < 60 && !found; seed++) {
        found = !new ListFleet(seed, bug, 6).run(FAULTS_END).isEmpty();
      }
      check(found, bug + " was not found");
    }
  }

  private static Map<String, ListedEndpoint> list(EndpointLifecycle lifecycle, int group) {
    return Map.of(
        "m",
        new ListedEndpoint(lifecycle, group),
        "n",
        new ListedEndpoint(EndpointLifecycle.READY, 1));
  }

  private static MembershipUpdate sight(
      long book, long seats, HeartbeatReport of, ListAgreement verdict) {
    return new MembershipUpdate(
        book,
        0,
        List.of(),
        of.drainMarksEnd(),
        verdict,
        of.listVersion(),
        of.digest(),
        0,
        seats,
        List.of(
            new GroupAssignment("m", 1, new ListVersion(0, 1), true),
            new GroupAssignment("n", 1, new ListVersion(0, 1), true)));
  }

  /**
   * What it wants of the list that it keeps was once told with the digest of one that it held off.
   */
  @Example
  void whoHoldsAListOffWantsNothingOfAnother() {
    Moment now = new Moment(1_000_000);
    MembershipView membership = new MembershipView(Span.ofMillis(1_000), ASSIGNED);
    membership.receiveList(now, true, 5, list(EndpointLifecycle.READY, 2));
    membership.receiveUpdate(
        now, sight(1, 1, membership.report(now, member -> true), ListAgreement.SEEN));
    check(
        membership.report(now, member -> true).wantedAssignments().size() == 1,
        "its list has a member elsewhere");
    check(
        membership.receiveList(now, true, 4, list(EndpointLifecycle.READY, 1)) == ListAnomaly.BACK,
        "it goes back");
    check(
        membership.report(now, member -> true).wantedAssignments().isEmpty(),
        "and says nothing of groups");
  }

  @Example
  void whatAListForbidsBindsAtOnceAndWhatItAllowsWaits() {
    Moment now = new Moment(1_000_000);
    MembershipView membership = new MembershipView(Span.ofMillis(1_000), ASSIGNED);
    membership.receiveList(now, true, 2, list(EndpointLifecycle.READY, 1));
    membership.receiveUpdate(
        now, sight(1, 1, membership.report(now, member -> true), ListAgreement.SEEN));
    membership.extendLease(now);
    check(
        membership.use(now, "m").lifecycle() == EndpointLifecycle.READY,
        "settled, and in its seat");
    membership.receiveList(now, true, 3, list(EndpointLifecycle.DRAINING, 1));
    check(membership.use(now, "m").lifecycle() == EndpointLifecycle.DRAINING, "at once");
    membership.receiveList(now, true, 4, list(EndpointLifecycle.READY, 1));
    check(
        membership.use(now, "m").lifecycle() == EndpointLifecycle.DRAINING,
        "nobody has borne it out");
    membership.receiveUpdate(
        now, sight(1, 1, membership.report(now, member -> true), ListAgreement.DISPUTED));
    check(
        membership.use(now.plus(ASSIGNED), "m").lifecycle() == EndpointLifecycle.DRAINING,
        "others hold another");
    membership.receiveUpdate(
        now, sight(1, 1, membership.report(now, member -> true), ListAgreement.SEEN));
    check(membership.use(now, "m").lifecycle() == EndpointLifecycle.READY, "most hold it");
    check(membership.receiveList(now, true, 5, Map.of()) == ListAnomaly.EMPTY, "an empty one");
    check(membership.use(now, "m").lifecycle() == EndpointLifecycle.READY, "is used for nothing");
    check(
        membership.use(now.plus(ASSIGNED.times(1.1)), "m").lifecycle()
            == EndpointLifecycle.DRAINING,
        "adrift");
  }
}
