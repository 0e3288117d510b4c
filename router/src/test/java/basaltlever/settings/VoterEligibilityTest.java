package basaltlever.settings;

import static basaltlever.LoadBalancerHarness.check;

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
  private static final Moment NOW = new Moment(1_000_000);
  private static final List<String> FOUNDERS = List.of("n1", "n2", "n3");

  private static VoterIdentity identity(long epoch, String... voters) {
    return new VoterIdentity("cards", "n3", "own", epoch, List.of(voters));
  }

  private static PeerStatus peer(
      String voter, long epoch, String requesterFolderId, String... voters) {
    return new PeerStatus(
        voter, epoch, List.of(voters), requesterFolderId, voters.length == 0, false);
  }

  private static PeerStatus leader(String voter, long epoch, String... voters) {
    return new PeerStatus(voter, epoch, List.of(voters), "", false, true);
  }

  private static Kind kind(VoterIdentity own, PeerStatus... peers) {
    return VoterEligibility.decide("n3", own, FOUNDERS, List.of(peers)).kind();
  }

  @Example
  void eligibilityFollowsFolderAndPeerReports() {
    PeerStatus[] emptyPeers = {peer("n1", 0, ""), peer("n2", 0, "")};
    check(kind(null, emptyPeers) == Kind.FOUND, "all are there, and nobody knows of a vote");
    check(kind(null, emptyPeers[0]) == Kind.WAIT, "the one that is missing may know of its vote");
    check(
        kind(null, emptyPeers[0], peer("n2", 0, "", "n1", "n2", "n3")) == Kind.JOIN,
        "one has founded");
    check(
        kind(null, new PeerStatus("n1", 0, List.of(), "", false, false), emptyPeers[1])
            == Kind.WAIT,
        "one that has voted " + "before, and is no further yet");
    check(kind(null, peer("n1", 0, "", "n1", "n2", "n3")) == Kind.WAIT, "one that may lag");
    check(kind(null, leader("n1", 0, "n1", "n2", "n3")) == Kind.JOIN, "who leads knows all");
    check(
        kind(null, peer("n1", 0, "other", "n1", "n2", "n3"), emptyPeers[1]) == Kind.WAIT,
        "its folder is lost");
    check(kind(identity(0, "n1", "n2", "n3")) == Kind.RESUME, "nobody answers: it has its folder");
    check(
        kind(identity(0, "n1", "n2", "n3"), peer("n1", 1, "", "n1")) == Kind.WAIT,
        "given up with the majority");
    check(
        kind(identity(0, "n1", "n2", "n3"), peer("n1", 1, "", "n1", "n3")) == Kind.JOIN,
        "and taken in again");
    check(kind(null, peer("n1", 1, "", "n1", "n3")) == Kind.JOIN, "with an empty folder too");
    check(kind(identity(1, "n1"), peer("n1", 1, "own", "n1", "n4")) == Kind.WAIT, "taken out");
    check(
        kind(identity(1, "n1"), peer("n1", 1, "own", "n1", "n3"), peer("n4", 1, "", "n1", "n4"))
            == Kind.RESUME,
        "one that lags does not know yet that it was taken in");
    check(
        kind(identity(1, "n1", "n3"), peer("n2", 0, "old", "n1", "n2", "n3")) == Kind.RESUME,
        "what an older charter knows binds nobody");
  }

  /**
   * Three voters that come, go and lose a folder, one at a time. Which folder a voter votes by is
   * known to some majority of those that are up then, and to whoever leads.
   */
  @Property(tries = 500, seed = "2912", shrinking = ShrinkingMode.OFF)
  void voterNeverVotesWithTwoFolders(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Map<String, VoterIdentity> folders = new TreeMap<>();
    Map<String, String> recordedFolders = new TreeMap<>();
    Map<String, Set<String>> informedVoters = new TreeMap<>();
    FOUNDERS.forEach(name -> informedVoters.put(name, new HashSet<>()));
    Set<String> running = new TreeSet<>();
    for (int step = 0; step < 80; step++) {
      String name = FOUNDERS.get(random.nextInt(3));
      List<String> others = FOUNDERS.stream().filter(candidate -> !candidate.equals(name)).toList();
      switch (random.nextInt(8)) {
        case 0 -> running.remove(name);
        case 1 -> {
          if (folders.size() == 3
              && others.stream()
                  .allMatch(
                      candidate ->
                          informedVoters.values().stream()
                              .allMatch(
                                  informed ->
                                      informed.isEmpty()
                                          || informed.size() > 2
                                          || !informed.contains(name)))) {
            folders.remove(name);
            running.remove(name);
            informedVoters.values().forEach(informed -> informed.remove(name));
          }
        }
        case 2 -> {
          if (running.size() > 1) {
            // One after the other catches up with who leads.
            informedVoters
                .values()
                .forEach(informed -> informed.addAll(informed.isEmpty() ? Set.of() : running));
          }
        }
        default -> {
          List<PeerStatus> peers = new ArrayList<>();
          String leader =
              running.size() < 2
                  ? ""
                  : running.stream()
                      .filter(
                          candidate ->
                              recordedFolders.keySet().stream()
                                  .allMatch(voter -> informedVoters.get(voter).contains(candidate)))
                      .findFirst()
                      .orElse("");
          for (String other : others) {
            if (random.nextInt(3) > 0) {
              peers.add(
                  new PeerStatus(
                      other,
                      0,
                      running.contains(other) ? FOUNDERS : List.of(),
                      running.contains(other) && informedVoters.get(name).contains(other)
                          ? recordedFolders.get(name)
                          : "",
                      !folders.containsKey(other),
                      other.equals(leader)));
            }
          }
          VoterIdentity own = folders.get(name);
          if (!running.contains(name)
              && VoterEligibility.decide(name, own, FOUNDERS, peers).kind() != Kind.WAIT) {
            String folderId = own != null ? own.folderId() : "folder" + step;
            check(
                recordedFolders.getOrDefault(name, folderId).equals(folderId),
                name + " votes by " + folderId + ", and has by " + recordedFolders.get(name));
            folders.put(name, new VoterIdentity("cards", name, folderId, 0, FOUNDERS));
            running.add(name);
          }
          if (running.contains(name) && running.size() > 1 && !recordedFolders.containsKey(name)) {
            recordedFolders.put(name, folders.get(name).folderId());
            List<String> majority = new ArrayList<>(running);
            while (majority.size() > 2) {
              majority.remove(random.nextInt(majority.size()));
            }
            informedVoters.get(name).addAll(majority);
          }
        }
      }
    }
  }

  @Example
  void recoveredEpochSupersedesAllNumbersOfLostVoters() {
    VersionRegister surviving = new VersionRegister();
    surviving.propose(0, "{}", 5, "op", "one", 1);
    surviving.bringIntoForce(1);
    surviving.assignGroup("db-1", 1, new ListVersion(0, 3));
    surviving.recordFolder("n3", "own");
    VersionRegister lost = new VersionRegister();
    lost.propose(0, "{}", 5, "op", "one", 1);
    lost.bringIntoForce(1);
    for (int i = 1; i < 400; i++) {
      lost.propose(i, "{}", 5, "op", "more", 1);
      lost.bringIntoForce(i + 1);
    }
    lost.assignGroup("db-1", 1, new ListVersion(0, 3));
    surviving.propose(1, "{\"a\":1}", 5, "op", "on its way", 1);
    surviving.recover(Set.of("n2"), "op", "burnt", 2);
    check(
        surviving.epoch() == 1
            && surviving.changeCount() > lost.changeCount()
            && surviving.inForce().number() > lost.lastNumber()
            && surviving.assignmentChangeNumber() > lost.assignmentChangeNumber(),
        "numbers");
    check(
        surviving.prepared() == null
            && surviving.inForce().settingsJson().equals("{}")
            && !surviving.groupAssignment("db-1").cleared()
            && surviving.recordedFolder("n3").isEmpty()
            && surviving.lostVoters().equals(Set.of("n2")),
        "what is left is taken back");
    LeaseHolder leaseHolder = new LeaseHolder();
    leaseHolder.restoreEpoch(1);
    check(
        !leaseHolder.acceptGrant(
            NOW,
            new LeaseGrant(
                leaseHolder.registerHeartbeat(NOW),
                VirtualFleet.LEASE_DURATION,
                lost.inForce(),
                null,
                lost.changeCount())),
        "an older charter's grant is worth nothing");
  }
}
