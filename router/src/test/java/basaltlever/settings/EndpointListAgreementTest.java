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
  private static final class Member {
    int group;
    EndpointLifecycle listing = EndpointLifecycle.READY;
    int moves;
    int flips;
    int last = -1;
    long readyAt;

    /** By group, of which process. */
    final Map<Integer, Map<String, Integer>> out =
        new HashMap<>(Map.of(1, new HashMap<>(), 2, new HashMap<>()));
  }

  private record Drain(String member, long generation, long at, VirtualFleet.Router by) {}

  private static final class Holder {
    MembershipView roll;
    final Map<String, Integer> out = new HashMap<>();
    long startsAt;
    boolean late;
    long deafUntil;
  }

  private static final class Run extends VirtualFleet {
    final Map<String, Member> members = new TreeMap<>();
    final List<Holder> more = new ArrayList<>();
    final Map<Leader, MembershipCoordinator> censuses = new HashMap<>();
    final List<Drain> drains = new ArrayList<>();
    final List<Map<String, ListedEndpoint>> history = new ArrayList<>();

    /** Far from where one that lost its state begins: nobody could tell the two rows apart else. */
    long generation = 1_000;

    /** Of the oldest list that is remembered. */
    long base = generation;

    long eras;
    int names;
    int cleared;
    int held;

    Run(long seed, Bug bug, int count) {
      super(seed, bug, count);
      steady = seed % 2 == 1;
      for (int i = 0; i < 8; i++) {
        Member member = new Member();
        member.group = 1 + i % 2;
        members.put("m" + names++, member);
      }
      for (VirtualFleet.Router router : routers) {
        Holder own = new Holder();
        more.add(own);
        begin(router);
        after(chance.nextInt(20_000), () -> visits(router));
      }
      history.add(truth());
      for (Leader leader : leaders) {
        if (!censuses.containsKey(leader)) {
          elected(leader);
        }
      }
      after(700_000, this::changes);
    }

    Holder of(VirtualFleet.Router router) {
      return more.get(router.number);
    }

    void begin(VirtualFleet.Router router) {
      Holder own = of(router);
      own.roll =
          new MembershipView(
              Span.ofMillis(STATED / 1_000),
              bug == Bug.NEVER_ADRIFT ? ASSIGNED.times(1_000) : ASSIGNED);
      own.out.clear();
      own.startsAt = now + 120_000;
      long incarnation = router.incarnation;
      after(120_000, () -> tell(router, incarnation, truth(), generation));
    }

    @Override
    void restarted(VirtualFleet.Router router) {
      begin(router);
    }

    @Override
    void elected(Leader leader) {
      if (more == null) {
        // Before this run's own parts exist.
        return;
      }
      List<String> names = new ArrayList<>();
      for (int i = 0; i < routers.size(); i++) {
        names.add("r" + i);
      }
      MembershipCoordinator census =
          censuses.computeIfAbsent(
              leader, l -> new MembershipCoordinator(l.leases, names, ASSIGNED.plus(LONGEST)));
      census.elected(clock(leader), 1 + orders++);
    }

    @Override
    HeartbeatReport says(VirtualFleet.Router router) {
      Holder own = of(router);
      HeartbeatReport report =
          own.roll.report(
              clock(router),
              member -> bug == Bug.LETS_GO_EARLY || own.out.getOrDefault(member, 0) == 0);
      return bug != Bug.MARKS_KEPT_TO_ITSELF
          ? report
          : new HeartbeatReport(
              report.at(),
              report.digest(),
              report.doubt(),
              List.of(),
              0,
              report.wanted(),
              report.free(),
              report.book(),
              report.read(),
              report.seatsRead());
    }

    @Override
    MembershipUpdate answers(Leader leader, VirtualFleet.Router router, HeartbeatReport report) {
      MembershipUpdate sight =
          censuses.get(leader).beat(clock(leader), "r" + router.number, report, knownTo(leader));
      return bug != Bug.MOVES_AT_ONCE
          ? sight
          : new MembershipUpdate(
              sight.book(),
              sight.place(),
              sight.marks(),
              sight.marksEnd(),
              sight.verdict(),
              sight.at(),
              sight.digest(),
              sight.era(),
              sight.seatsNumber(),
              sight.seats().stream()
                  .map(seat -> new GroupAssignment(seat.member(), seat.group(), seat.at(), true))
                  .toList());
    }

    @Override
    void leased(VirtualFleet.Router router) {
      of(router).roll.leased(router.follower.leaseEnds());
    }

    @Override
    void hears(VirtualFleet.Router router, MembershipUpdate sight) {
      Holder own = of(router);
      if (sight != null && now >= own.startsAt) {
        own.roll.heard(clock(router), sight);
        if (own.roll.wantsList()) {
          long incarnation = router.incarnation;
          after(10_000, () -> tell(router, incarnation, truth(), generation));
        }
      }
    }

    @Override
    void steps(Leader leader) {
      MembershipCoordinator.Step step = censuses.get(leader).next(clock(leader), register);
      switch (step.kind()) {
        case SEAT -> {
          for (GroupAssignment seat : step.seats()) {
            register.seat(seat.member(), seat.group(), seat.at());
            if (bug == Bug.CLEARS_EARLY) {
              register.clear(seat.member());
            }
          }
        }
        case CLEAR -> {
          for (GroupAssignment seat : step.seats()) {
            cleared += register.clear(seat.member()) ? 1 : 0;
          }
        }
        case COUNT_ANEW -> register.countAnew(register.era());
        default -> {}
      }
    }

    // ---- Discovery.

    Map<String, ListedEndpoint> truth() {
      Map<String, ListedEndpoint> list = new TreeMap<>();
      members.forEach(
          (name, member) -> {
            if (member.listing != EndpointLifecycle.GONE) {
              list.put(name, new ListedEndpoint(member.listing, member.group));
            }
          });
      return list;
    }

    Member some() {
      List<Member> serving =
          members.values().stream().filter(one -> one.listing != EndpointLifecycle.GONE).toList();
      return serving.get(chance.nextInt(serving.size()));
    }

    void changes() {
      if (now > FAULTS_END) {
        generation++;
        routers.forEach(router -> tell(router, router.incarnation, truth(), generation));
        if (now < FAULTS_END + 3_000_000) {
          // Once more behind what was late.
          after(3_000_000, this::changes);
        }
        return;
      }
      after(400_000 + chance.nextInt(900_000), this::changes);
      long ready =
          members.values().stream().filter(one -> one.listing == EndpointLifecycle.READY).count();
      String drained = "";
      Member one = some();
      switch (chance.nextInt(6)) {
        case 0, 1 -> {
          if (ready > 5 && one.listing == EndpointLifecycle.READY) {
            one.listing = EndpointLifecycle.DRAINING;
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
                .filter(any -> any.listing == EndpointLifecycle.DRAINING)
                .findFirst()
                .ifPresent(
                    any -> {
                      any.listing = EndpointLifecycle.READY;
                      any.readyAt = now + 2_500_000;
                    });
        case 3 -> {
          one.group = 3 - one.group;
          one.moves++;
        }
        case 4 -> {
          if (members.size() < 14) {
            Member member = new Member();
            member.group = 1 + chance.nextInt(2);
            members.put("m" + names++, member);
          }
        }
        default -> {
          if (ready > 5 && one.listing == EndpointLifecycle.READY) {
            one.listing = EndpointLifecycle.GONE;
          }
        }
      }
      if (chance.nextInt(30) == 0) {
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
        Holder own = of(router);
        own.late = router.number % 3 == 2 && chance.nextInt(2) == 0;
        long late = own.late ? chance.nextInt(2_500_000) : 2_000 + chance.nextInt(40_000);
        long incarnation = router.incarnation;
        Map<String, ListedEndpoint> list = odd(router);
        long of = generation;
        String member = drained;
        long counted = eras;
        after(
            late,
            () -> {
              if (counted != eras) {
                return;
              }
              tell(router, incarnation, list, of);
              if (!member.isEmpty()
                  && list.get(member) != null
                  && router.incarnation == incarnation
                  && list.get(member).listing() == EndpointLifecycle.DRAINING) {
                long told = now;
                after(
                    LEASE.micros() + 20_000,
                    () -> {
                      // Its lease is from a beat that it sent after it was told: the leader knows.
                      if (!router.follower.isCareful()
                          && router.incarnation == incarnation
                          && router.stoppedUntil < told
                          && counted == eras
                          && own.roll.at().equals(own.roll.ownAt())) {
                        drains.add(new Drain(member, of, told, router));
                      }
                    });
              }
            });
      }
    }

    /** One router in some is told another thing under the same generation. */
    Map<String, ListedEndpoint> odd(VirtualFleet.Router router) {
      Map<String, ListedEndpoint> list = new TreeMap<>(truth());
      if (router.number == 1 && routers.size() > 3 && chance.nextInt(4) == 0) {
        list.put("ghost" + chance.nextInt(3), new ListedEndpoint(EndpointLifecycle.READY, 1));
        list.replaceAll(
            (name, said) ->
                new ListedEndpoint(
                    EndpointLifecycle.READY,
                    chance.nextInt(5) == 0 ? 3 - said.group() : said.group()));
      }
      return list;
    }

    void tell(
        VirtualFleet.Router router, long incarnation, Map<String, ListedEndpoint> list, long of) {
      Holder own = of(router);
      if (router.incarnation == incarnation && now < router.stoppedUntil) {
        // It reads what had come once it goes on.
        long counted = eras;
        after(
            router.stoppedUntil - now + 1,
            () -> {
              if (counted == eras) {
                tell(router, incarnation, list, of);
              }
            });
        return;
      }
      if (router.incarnation != incarnation || now < own.deafUntil) {
        return;
      }
      ListVersion at = own.roll.at();
      if (at.generation() > of && eras == 0 && chance.nextInt(3) > 0 && now < FAULTS_END) {
        return;
      }
      Moment clock = clock(router);
      int odd = now < FAULTS_END ? chance.nextInt(12) : 0;
      if (odd == 1) {
        own.roll.told(clock, true, of, Map.of());
        held++;
      } else if (odd == 2) {
        Map<String, ListedEndpoint> few = new TreeMap<>(list);
        few.keySet().retainAll(list.keySet().stream().limit(2).toList());
        own.roll.told(clock, true, of, few);
        held++;
      } else if (odd == 3 && history.size() > 4) {
        int older = history.size() - 2 - chance.nextInt(3);
        own.roll.told(
            clock,
            true,
            bug == Bug.OLDER_LIST_TAKEN ? of + 1_000 : base + older,
            history.get(older));
        held++;
      }
      if (bug != Bug.OLDER_LIST_TAKEN || odd != 3) {
        own.roll.told(clock, true, of, list);
      }
    }

    // ---- What members see.

    void visits(VirtualFleet.Router router) {
      after(10_000 + chance.nextInt(20_000), () -> visits(router));
      Holder own = of(router);
      if (now < router.stoppedUntil || now < own.startsAt) {
        return;
      }
      for (String name : own.roll.members()) {
        MembershipView.MemberUse use = own.roll.use(clock(router), name);
        if (use.listing() != EndpointLifecycle.READY || chance.nextInt(3) > 0) {
          continue;
        }
        if (name.startsWith("ghost")) {
          broken = name + " was used at " + now + " us by r" + router.number;
          return;
        }
        own.out.merge(name, 1, Integer::sum);
        Map<String, Integer> outs = own.out;
        long incarnation = router.incarnation;
        long arrives = 500L + chance.nextInt(10_000);
        long works = 1_000L + chance.nextInt(chance.nextInt(5) == 0 ? 1_500_000 : 20_000);
        String process = router.number + " " + incarnation;
        after(arrives, () -> arrives(name, use.group(), router.number, process));
        after(
            arrives + works,
            () -> members.get(name).out.get(use.group()).merge(process, -1, Integer::sum));
        after(
            arrives + works,
            () -> {
              if (router.incarnation == incarnation) {
                outs.merge(name, -1, Integer::sum);
              }
            });
      }
    }

    void arrives(String name, int group, int by, String process) {
      Member member = members.get(name);
      if (member.last != group) {
        member.flips += member.last < 0 ? 0 : 1;
        member.last = group;
      }
      member.out.get(group).merge(process, 1, Integer::sum);
      // What a process that was ended has left in a member is no use of it any more.
      boolean both =
          routers.stream()
              .anyMatch(
                  router ->
                      member
                              .out
                              .get(3 - group)
                              .getOrDefault(router.number + " " + router.incarnation, 0)
                          > 0);
      if (member.flips > member.moves || both) {
        broken =
            name
                + " served two groups at "
                + now
                + " us, for "
                + group
                + " by r"
                + by
                + ", "
                + member.flips
                + " flips of "
                + member.moves
                + " moves";
      }
    }

    @Override
    void check() {
      super.check();
      if (routers.stream().filter(router -> !router.follower.isCareful()).count() < 2) {
        // Alone it is most: nobody is there to contradict what its discovery tells it.
        return;
      }
      for (Drain drain : drains) {
        if (now < drain.at + STATED
            || now > drain.at + STATED + 20_000
            || drain.by.follower.isCareful()) {
          // Who was told and its leader, which both know, are not lost at once.
          continue;
        }
        for (VirtualFleet.Router router : routers) {
          Holder own = of(router);
          if (now >= router.stoppedUntil
              && !router.follower.isCareful()
              && own.roll.use(clock(router), drain.member).listing() == EndpointLifecycle.READY
              && drains(drain)) {
            broken =
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
    private boolean drains(Drain drain) {
      Member member = members.get(drain.member);
      return member.listing != EndpointLifecycle.READY && member.readyAt < drain.at;
    }

    String ends() {
      for (VirtualFleet.Router router : routers) {
        MembershipView roll = of(router).roll;
        for (Map.Entry<String, ListedEndpoint> entry : truth().entrySet()) {
          MembershipView.MemberUse use = roll.use(clock(router), entry.getKey());
          if (use.listing() != entry.getValue().listing()
              || use.group() != entry.getValue().group()) {
            return "r"
                + router.number
                + " makes "
                + use
                + " of "
                + entry
                + " in the end: "
                + roll.at()
                + " "
                + roll.verdict()
                + " adrift "
                + roll.isAdrift(clock(router));
          }
        }
      }
      return "";
    }

    @Override
    void faults() {
      if (now >= FAULTS_END) {
        return;
      }
      super.faults();
      if (chance.nextInt(12) == 0) {
        // From its voters and its discovery, and not from members and clients; longer than groups
        // hold.
        VirtualFleet.Router router = routers.get(chance.nextInt(routers.size()));
        long until = now + 6_000_000 + chance.nextInt(3_000_000);
        of(router).deafUntil = until;
        router.cutUntil = until;
        after(until - now, () -> tell(router, router.incarnation, truth(), generation));
      }
    }

    @Override
    void proposes() {}
  }

  @Example
  void membersServeOneGroupAtATimeAndDrainsAreKnownToAll() {
    int cleared = 0;
    int held = 0;
    for (int seed = 0; seed < 60; seed++) {
      Run run = new Run(seed, VirtualFleet.Bug.NONE, 4 + seed % 6);
      String broken = run.play(FAULTS_END + 20_000_000);
      check(broken.isEmpty(), "seed " + seed + ": " + broken);
      check(run.ends().isEmpty(), "seed " + seed + ": " + run.ends());
      cleared += run.cleared;
      held += run.held;
    }
    check(cleared > 60 && held > 60, "members move, and odd lists come: " + cleared + ", " + held);
  }

  @Example
  void plantedBugsAreFound() {
    for (VirtualFleet.Bug bug :
        EnumSet.range(VirtualFleet.Bug.MARKS_KEPT_TO_ITSELF, VirtualFleet.Bug.OLDER_LIST_TAKEN)) {
      boolean found = false;
      for (int seed = 0; seed < 60 && !found; seed++) {
        found = !new Run(seed, bug, 6).play(FAULTS_END).isEmpty();
      }
      check(found, bug + " was not found");
    }
  }

  private static Map<String, ListedEndpoint> list(EndpointLifecycle listing, int group) {
    return Map.of(
        "m",
        new ListedEndpoint(listing, group),
        "n",
        new ListedEndpoint(EndpointLifecycle.READY, 1));
  }

  private static MembershipUpdate sight(
      long book, long seats, HeartbeatReport of, ListAgreement verdict) {
    return new MembershipUpdate(
        book,
        0,
        List.of(),
        of.marksEnd(),
        verdict,
        of.at(),
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
    MembershipView roll = new MembershipView(Span.ofMillis(1_000), ASSIGNED);
    roll.told(now, true, 5, list(EndpointLifecycle.READY, 2));
    roll.heard(now, sight(1, 1, roll.report(now, member -> true), ListAgreement.SEEN));
    check(roll.report(now, member -> true).wanted().size() == 1, "its list has a member elsewhere");
    check(
        roll.told(now, true, 4, list(EndpointLifecycle.READY, 1)) == ListAnomaly.BACK,
        "it goes back");
    check(roll.report(now, member -> true).wanted().isEmpty(), "and says nothing of groups");
  }

  @Example
  void whatAListForbidsBindsAtOnceAndWhatItAllowsWaits() {
    Moment now = new Moment(1_000_000);
    MembershipView roll = new MembershipView(Span.ofMillis(1_000), ASSIGNED);
    roll.told(now, true, 2, list(EndpointLifecycle.READY, 1));
    roll.heard(now, sight(1, 1, roll.report(now, member -> true), ListAgreement.SEEN));
    roll.leased(now);
    check(roll.use(now, "m").listing() == EndpointLifecycle.READY, "settled, and in its seat");
    roll.told(now, true, 3, list(EndpointLifecycle.DRAINING, 1));
    check(roll.use(now, "m").listing() == EndpointLifecycle.DRAINING, "at once");
    roll.told(now, true, 4, list(EndpointLifecycle.READY, 1));
    check(roll.use(now, "m").listing() == EndpointLifecycle.DRAINING, "nobody has borne it out");
    roll.heard(now, sight(1, 1, roll.report(now, member -> true), ListAgreement.DISPUTED));
    check(
        roll.use(now.plus(ASSIGNED), "m").listing() == EndpointLifecycle.DRAINING,
        "others hold another");
    roll.heard(now, sight(1, 1, roll.report(now, member -> true), ListAgreement.SEEN));
    check(roll.use(now, "m").listing() == EndpointLifecycle.READY, "most hold it");
    check(roll.told(now, true, 5, Map.of()) == ListAnomaly.EMPTY, "an empty one");
    check(roll.use(now, "m").listing() == EndpointLifecycle.READY, "is used for nothing");
    check(
        roll.use(now.plus(ASSIGNED.times(1.1)), "m").listing() == EndpointLifecycle.DRAINING,
        "adrift");
  }
}
