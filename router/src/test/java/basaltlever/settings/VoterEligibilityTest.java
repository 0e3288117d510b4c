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
    check(
        kind(null, emptyPeers) == Kind.FOUND,
        "all other voters report empty folders and no earlier vote");
    check(
        kind(null, emptyPeers[0]) == Kind.WAIT,
        "the voter that does not report may know of an earlier vote");
    check(
        kind(null, emptyPeers[0], peer("n2", 0, "", "n1", "n2", "n3")) == Kind.JOIN,
        "another voter has founded the epoch");
    check(
        kind(null, new PeerStatus("n1", 0, List.of(), "", false, false), emptyPeers[1])
            == Kind.WAIT,
        "a peer that has a folder but does not vote yet reports nothing about earlier votes");
    check(
        kind(null, peer("n1", 0, "", "n1", "n2", "n3")) == Kind.WAIT,
        "a voter that does not lead may lag behind an earlier vote");
    check(
        kind(null, leader("n1", 0, "n1", "n2", "n3")) == Kind.JOIN,
        "the leader has the record of every vote");
    check(
        kind(null, peer("n1", 0, "other", "n1", "n2", "n3"), emptyPeers[1]) == Kind.WAIT,
        "a peer has recorded another folder, which is lost");
    check(
        kind(identity(0, "n1", "n2", "n3")) == Kind.RESUME,
        "its own folder suffices where no peer reports");
    check(
        kind(identity(0, "n1", "n2", "n3"), peer("n1", 1, "", "n1")) == Kind.WAIT,
        "the newer epoch gave up this voter with the lost majority");
    check(
        kind(identity(0, "n1", "n2", "n3"), peer("n1", 1, "", "n1", "n3")) == Kind.JOIN,
        "the newer epoch has added this voter again");
    check(
        kind(null, peer("n1", 1, "", "n1", "n3")) == Kind.JOIN,
        "a voter with an empty folder joins the newer epoch");
    check(
        kind(identity(1, "n1"), peer("n1", 1, "own", "n1", "n4")) == Kind.WAIT,
        "removed from the voters");
    check(
        kind(identity(1, "n1"), peer("n1", 1, "own", "n1", "n3"), peer("n4", 1, "", "n1", "n4"))
            == Kind.RESUME,
        "one peer names it as a voter, the other lags behind");
    check(
        kind(identity(1, "n1", "n3"), peer("n2", 0, "old", "n1", "n2", "n3")) == Kind.RESUME,
        "a recorded folder of an older epoch does not count");
  }

  /**
   * Guards against two votes in one term: a voter that lost its folder votes again with a new one.
   * Three voters start, stop and lose a folder, one at a time. The record of a voter's folder is
   * present at a majority of those running at the time, and at the leader.
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
            // The running voters catch up with the leader.
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
                name
                    + " votes with "
                    + folderId
                    + " after it voted with "
                    + recordedFolders.get(name));
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
    surviving.propose(1, "{\"a\":1}", 5, "op", "prepared", 1);
    surviving.recover(Set.of("n2"), "op", "burnt", 2);
    check(
        surviving.epoch() == 1
            && surviving.changeCount() > lost.changeCount()
            && surviving.inForce().number() > lost.lastNumber()
            && surviving.assignmentChangeNumber() > lost.assignmentChangeNumber(),
        "the recovered epoch exceeds every number that the lost voters can have assigned");
    check(
        surviving.prepared() == null
            && surviving.inForce().settingsJson().equals("{}")
            && !surviving.groupAssignment("db-1").cleared()
            && surviving.recordedFolder("n3").isEmpty()
            && surviving.lostVoters().equals(Set.of("n2")),
        "recovery withdraws the prepared version and resets assignments and folders");
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
        "a grant of an older epoch is rejected");
  }
}
