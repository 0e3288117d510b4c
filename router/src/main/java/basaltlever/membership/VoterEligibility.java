package basaltlever.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Decision whether a voter may vote, and with which other voters, based on the contents of its
 * folder and the reports of the other voters.
 *
 * <p>A voter must not vote if it was given up with a lost majority, was removed, or has lost the
 * folder that it voted with: it could vote twice in one term, or lead routers by a state that the
 * other voters have abandoned.
 *
 * @param kind action of the voter
 * @param epoch configuration epoch in which it votes
 * @param voters names of the voters, including this one
 * @param reason reason to wait; empty if it does not wait
 */
public record VoterEligibility(Kind kind, long epoch, List<String> voters, String reason) {
  /** Action of a voter. */
  public enum Kind {
    /** Starts the first epoch, with an empty folder. */
    FOUND,
    /** Continues with the contents of its folder. */
    RESUME,
    /** Joins the voters of a newer epoch, or of the first one if its folder is empty. */
    JOIN,
    /** Does not vote, and polls the other voters again later. */
    WAIT
  }

  /**
   * Contents of a voter's folder.
   *
   * @param fleet name of the fleet
   * @param name name of the voter
   * @param folderId unique id of this folder
   * @param epoch configuration epoch
   * @param voters names of the voters of that epoch
   */
  public record VoterIdentity(
      String fleet, String name, String folderId, long epoch, List<String> voters) {}

  /**
   * Report of another voter.
   *
   * @param voter its name
   * @param epoch its configuration epoch
   * @param voters names of the voters of that epoch; empty if it does not vote itself
   * @param requesterFolderId id of the folder recorded for the requesting voter; empty if none is
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
   * @param name name of this voter
   * @param own contents of its folder; null if that is empty
   * @param founders names of the voters in the operator's files
   * @param peers reports of the other voters that have answered
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

  /** Whether a voter reports an epoch that is newer than the one in this voter's folder. */
  private static boolean isBehind(VoterIdentity own, PeerStatus newest) {
    return newest != null && (own == null || newest.epoch() > own.epoch());
  }

  /**
   * Whether a voter of the same or a newer epoch has recorded a different folder for this voter.
   */
  private static boolean hasRecordedOtherFolder(PeerStatus peer, VoterIdentity own) {
    if (peer.requesterFolderId().isEmpty()) {
      return false;
    }
    return own == null
        || (peer.epoch() >= own.epoch() && !peer.requesterFolderId().equals(own.folderId()));
  }

  /**
   * Whether the reports suffice to determine if a voter with an empty folder has voted before:
   * either the leader of the newest epoch, which has all agreed commands, or all other voters must
   * have reported.
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

  /** Whether its own epoch is the newest reported and no report names it as a voter. */
  private static boolean isRemoved(
      String name, VoterIdentity own, PeerStatus newest, Collection<PeerStatus> peers) {
    return newest != null
        && newest.epoch() == own.epoch()
        && peers.stream().noneMatch(peer -> peer.voters().contains(name));
  }
}
