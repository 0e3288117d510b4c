package basaltlever.settings;

import static basaltlever.StandIn.check;

import basaltlever.membership.ListVersion;
import basaltlever.membership.VoterEligibility;
import basaltlever.membership.VoterEligibility.Kind;
import basaltlever.membership.VoterEligibility.PeerStatus;
import basaltlever.membership.VoterEligibility.VoterIdentity;
import basaltlever.time.Moment;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

class VoterEligibilityTest {
  private static final Moment AT = new Moment(1_000_000);
  private static final List<String> FOUNDERS = List.of("n1", "n2", "n3");

  private static VoterIdentity seal(long charter, String... members) {
    return new VoterIdentity("cards", "n3", "own", charter, List.of(members));
  }

  private static PeerStatus told(String voter, long charter, String seal, String... members) {
    return new PeerStatus(voter, charter, List.of(members), seal, members.length == 0, false);
  }

  private static PeerStatus leads(String voter, long charter, String... members) {
    return new PeerStatus(voter, charter, List.of(members), "", false, true);
  }

  private static Kind kind(VoterIdentity own, PeerStatus... told) {
    return VoterEligibility.of("n3", own, FOUNDERS, List.of(told)).kind();
  }

  @Example
  void whoMayVoteAndWhoWaits() {
    PeerStatus[] founding = {told("n1", 0, ""), told("n2", 0, "")};
    check(kind(null, founding) == Kind.FOUND, "all are there, and nobody knows of a vote");
    check(kind(null, founding[0]) == Kind.WAIT, "the one that is missing may know of its vote");
    check(
        kind(null, founding[0], told("n2", 0, "", "n1", "n2", "n3")) == Kind.JOIN,
        "one has founded");
    check(
        kind(null, new PeerStatus("n1", 0, List.of(), "", false, false), founding[1]) == Kind.WAIT,
        "one that has voted " + "before, and is no further yet");
    check(kind(null, told("n1", 0, "", "n1", "n2", "n3")) == Kind.WAIT, "one that may lag");
    check(kind(null, leads("n1", 0, "n1", "n2", "n3")) == Kind.JOIN, "who leads knows all");
    check(
        kind(null, told("n1", 0, "other", "n1", "n2", "n3"), founding[1]) == Kind.WAIT,
        "its folder is lost");
    check(kind(seal(0, "n1", "n2", "n3")) == Kind.RESUME, "nobody answers: it has its folder");
    check(
        kind(seal(0, "n1", "n2", "n3"), told("n1", 1, "", "n1")) == Kind.WAIT,
        "given up with the majority");
    check(
        kind(seal(0, "n1", "n2", "n3"), told("n1", 1, "", "n1", "n3")) == Kind.JOIN,
        "and taken in again");
    check(kind(null, told("n1", 1, "", "n1", "n3")) == Kind.JOIN, "with an empty folder too");
    check(kind(seal(1, "n1"), told("n1", 1, "own", "n1", "n4")) == Kind.WAIT, "taken out");
    check(
        kind(seal(1, "n1"), told("n1", 1, "own", "n1", "n3"), told("n4", 1, "", "n1", "n4"))
            == Kind.RESUME,
        "one that lags does not know yet that it was taken in");
    check(
        kind(seal(1, "n1", "n3"), told("n2", 0, "old", "n1", "n2", "n3")) == Kind.RESUME,
        "what an older charter knows binds nobody");
  }

  /**
   * Three voters that come, go and lose a folder, one at a time. Which folder a voter votes by is
   * known to some majority of those that are up then, and to whoever leads.
   */
  @Property(tries = 500, seed = "2912", shrinking = ShrinkingMode.OFF)
  void noFolderVotesWhereAnotherOfThatNameHasVoted(@ForAll long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    Map<String, VoterIdentity> folders = new TreeMap<>();
    Map<String, String> agreed = new TreeMap<>();
    Map<String, Set<String>> knowing = new TreeMap<>();
    FOUNDERS.forEach(name -> knowing.put(name, new HashSet<>()));
    Set<String> up = new TreeSet<>();
    for (int step = 0; step < 80; step++) {
      String name = FOUNDERS.get(chance.nextInt(3));
      List<String> others = FOUNDERS.stream().filter(one -> !one.equals(name)).toList();
      switch (chance.nextInt(8)) {
        case 0 -> up.remove(name);
        case 1 -> {
          if (folders.size() == 3
              && others.stream()
                  .allMatch(
                      one ->
                          knowing.values().stream()
                              .allMatch(
                                  who -> who.isEmpty() || who.size() > 2 || !who.contains(name)))) {
            folders.remove(name);
            up.remove(name);
            knowing.values().forEach(who -> who.remove(name));
          }
        }
        case 2 -> {
          if (up.size() > 1) {
            // One after the other catches up with who leads.
            knowing.values().forEach(who -> who.addAll(who.isEmpty() ? Set.of() : up));
          }
        }
        default -> {
          List<PeerStatus> told = new ArrayList<>();
          String leader =
              up.size() < 2
                  ? ""
                  : up.stream()
                      .filter(
                          one ->
                              agreed.keySet().stream()
                                  .allMatch(voter -> knowing.get(voter).contains(one)))
                      .findFirst()
                      .orElse("");
          for (String other : others) {
            if (chance.nextInt(3) > 0) {
              told.add(
                  new PeerStatus(
                      other,
                      0,
                      up.contains(other) ? FOUNDERS : List.of(),
                      up.contains(other) && knowing.get(name).contains(other)
                          ? agreed.get(name)
                          : "",
                      !folders.containsKey(other),
                      other.equals(leader)));
            }
          }
          VoterIdentity own = folders.get(name);
          if (!up.contains(name)
              && VoterEligibility.of(name, own, FOUNDERS, told).kind() != Kind.WAIT) {
            String id = own != null ? own.folderId() : "folder" + step;
            check(
                agreed.getOrDefault(name, id).equals(id),
                name + " votes by " + id + ", and has by " + agreed.get(name));
            folders.put(name, new VoterIdentity("cards", name, id, 0, FOUNDERS));
            up.add(name);
          }
          if (up.contains(name) && up.size() > 1 && !agreed.containsKey(name)) {
            agreed.put(name, folders.get(name).folderId());
            List<String> majority = new ArrayList<>(up);
            while (majority.size() > 2) {
              majority.remove(chance.nextInt(majority.size()));
            }
            knowing.get(name).addAll(majority);
          }
        }
      }
    }
  }

  @Example
  void aNewCharterStandsAboveAllThatTheLostOnesCanHaveSaid() {
    VersionRegister left = new VersionRegister();
    left.propose(0, "{}", 5, "op", "one", 1);
    left.bringIntoForce(1);
    left.seat("db-1", 1, new ListVersion(0, 3));
    left.recordFolder("n3", "own");
    VersionRegister lost = new VersionRegister();
    lost.propose(0, "{}", 5, "op", "one", 1);
    lost.bringIntoForce(1);
    for (int i = 1; i < 400; i++) {
      lost.propose(i, "{}", 5, "op", "more", 1);
      lost.bringIntoForce(i + 1);
    }
    lost.seat("db-1", 1, new ListVersion(0, 3));
    left.propose(1, "{\"a\":1}", 5, "op", "on its way", 1);
    left.recover(Set.of("n2"), "op", "burnt", 2);
    check(
        left.epoch() == 1
            && left.changeCount() > lost.changeCount()
            && left.inForce().number() > lost.lastNumber()
            && left.assignmentsNumber() > lost.assignmentsNumber(),
        "numbers");
    check(
        left.prepared() == null
            && left.inForce().text().equals("{}")
            && !left.seat("db-1").cleared()
            && left.recordedFolder("n3").isEmpty()
            && left.lostVoters().equals(Set.of("n2")),
        "what is left is taken back");
    LeaseHolder leaseHolder = new LeaseHolder();
    leaseHolder.restoreEpoch(1);
    check(
        !leaseHolder.acceptGrant(
            AT,
            new LeaseGrant(
                leaseHolder.registerHeartbeat(AT),
                VirtualFleet.LEASE,
                lost.inForce(),
                null,
                lost.changeCount())),
        "an older charter's grant is worth nothing");
  }
}
