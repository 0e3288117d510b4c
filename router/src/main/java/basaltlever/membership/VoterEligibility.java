package basaltlever.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Whether a voter may vote, and with whom, by what its folder contains and what the other voters
 * report.
 *
 * <p>A voter must not vote if it was given up with a lost majority, was removed, or has lost the
 * folder with which it voted: it could vote twice in one term, or lead routers by a state that the
 * other voters have abandoned.
 *
 * @param kind what the voter does
 * @param epoch configuration epoch in which it votes
 * @param voters the voters, itself among them
 * @param reason the reason to wait; empty where it does not
 */
public record VoterEligibility(Kind kind, long epoch, List<String> voters, String reason) {
  /** What a voter does. */
  public enum Kind {
    /** Starts the first epoch, with an empty folder. */
    FOUND,
    /** Continues with the contents of its folder. */
    RESUME,
    /** Joins the voters of a newer epoch, or of the first where its folder is empty. */
    JOIN,
    /** Does not vote, and asks the other voters again later. */
    WAIT
  }

  /**
   * What a voter's folder contains.
   *
   * @param fleet name of the fleet
   * @param name of the voter
   * @param folderId of this very folder
   * @param epoch configuration epoch
   * @param voters the voters of that epoch
   */
  public record VoterIdentity(
      String fleet, String name, String folderId, long epoch, List<String> voters) {}

  /**
   * What another voter reports.
   *
   * @param voter its name
   * @param epoch its configuration epoch
   * @param voters the voters of that epoch; empty where it does not vote itself
   * @param requesterFolderId id of the recorded folder of the voter that asks; empty where none is
   * @param hasEmptyFolder whether its own folder is empty
   * @param isLeader whether it is the leader
   */
  public record PeerStatus(
      String voter,
      long epoch,
      List<String> voters,
      String requesterFolderId,
      boolean hasEmptyFolder,
      boolean isLeader) {
    private boolean isVoting() {
      return !voters.isEmpty();
    }
  }

  /**
   * Decides by the first rule that applies.
   *
   * @param name of the voter that asks
   * @param own contents of its folder; null where that is empty
   * @param founders the voters that the operator's files name
   * @param peers reports of the other voters that answered
   */
  public static VoterEligibility decide(
      String name, VoterIdentity own, List<String> founders, Collection<PeerStatus> peers) {
    PeerStatus newest =
        peers.stream()
            .filter(PeerStatus::isVoting)
            .max(Comparator.comparingLong(PeerStatus::epoch))
            .orElse(null);
    String reason = reasonToWait(name, own, founders, peers, newest);
    if (!reason.isEmpty()) {
      return new VoterEligibility(Kind.WAIT, 0, List.of(), reason);
    }
    if (isBehind(own, newest)) {
      return new VoterEligibility(Kind.JOIN, newest.epoch(), newest.voters(), "");
    }
    return own == null
        ? new VoterEligibility(Kind.FOUND, 0, founders, "")
        : new VoterEligibility(Kind.RESUME, own.epoch(), own.voters(), "");
  }

  private static String reasonToWait(
      String name,
      VoterIdentity own,
      List<String> founders,
      Collection<PeerStatus> peers,
      PeerStatus newest) {
    if (isBehind(own, newest) && !newest.voters().contains(name)) {
      String voters = String.join(", ", newest.voters());
      return "charter " + newest.epoch() + " has other voters: " + voters;
    }
    if (peers.stream().anyMatch(peer -> hasRecordedOtherFolder(peer, own))) {
      return "it has voted with another folder: take it out and in again";
    }
    if (own == null && !canRuleOutEarlierVote(name, newest, founders, peers)) {
      return "its folder is empty, and not all other voters tell whether it has voted";
    }
    return own != null && isRemoved(name, own, newest, peers) ? "it was taken out" : "";
  }

  /** Whether a voter reports an epoch that this voter does not have in its folder. */
  private static boolean isBehind(VoterIdentity own, PeerStatus newest) {
    return newest != null && (own == null || newest.epoch() > own.epoch());
  }

  /** Whether a voter of the same or a newer epoch has recorded another folder than this one. */
  private static boolean hasRecordedOtherFolder(PeerStatus peer, VoterIdentity own) {
    if (peer.requesterFolderId().isEmpty()) {
      return false;
    }
    return own == null
        || (peer.epoch() >= own.epoch() && !peer.requesterFolderId().equals(own.folderId()));
  }

  /**
   * Whether the reports suffice to know if a voter with an empty folder has voted before: either
   * the leader of the newest epoch reports, who knows all that was agreed on, or all other voters
   * do.
   */
  private static boolean canRuleOutEarlierVote(
      String name, PeerStatus newest, List<String> founders, Collection<PeerStatus> peers) {
    long epoch = newest == null ? 0 : newest.epoch();
    if (peers.stream().anyMatch(peer -> peer.isLeader() && peer.epoch() == epoch)) {
      return true;
    }
    List<String> voters = newest == null ? founders : newest.voters();
    List<String> reporting =
        peers.stream()
            .filter(peer -> peer.hasEmptyFolder() || peer.isVoting())
            .map(PeerStatus::voter)
            .toList();
    return voters.stream().filter(voter -> !voter.equals(name)).allMatch(reporting::contains);
  }

  /** Whether its own epoch is the newest reported and nobody who reports names it as a voter. */
  private static boolean isRemoved(
      String name, VoterIdentity own, PeerStatus newest, Collection<PeerStatus> peers) {
    return newest != null
        && newest.epoch() == own.epoch()
        && peers.stream().noneMatch(peer -> peer.voters().contains(name));
  }
}
