package basaltlever.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Whether a voter may vote, and with whom: by what its folder holds and what the other voters tell.
 * Whoever was given up with a lost majority, taken out, or has lost the folder with which it voted,
 * may not: it could vote twice in a term, or lead routers by what nobody else keeps to any more.
 *
 * @param kind of standing
 * @param charter under which it votes
 * @param members with whom, itself among them
 * @param why it waits; empty where it doesn't
 */
public record VoterEligibility(Kind kind, long charter, List<String> members, String why) {
  /**
   * FOUND with an empty folder, RESUME with what it holds, JOIN under a newer charter, or WAIT and
   * ask again.
   */
  public enum Kind {
    FOUND,
    RESUME,
    JOIN,
    WAIT
  }

  /** What the folder of a voter says; its id is that folder's own. */
  public record VoterIdentity(
      String fleet, String name, String id, long charter, List<String> members) {}

  /**
   * What another voter tells: its charter, who votes, by which folder it knows the one that asks,
   * whether its own folder is empty, and whether it leads.
   */
  public record PeerStatus(
      String voter,
      long charter,
      List<String> members,
      String sealOfAsker,
      boolean fresh,
      boolean leads) {}

  /**
   * By the first rule that applies. Seal is null for an empty folder; founders are the voters that
   * the operator's files name; told holds those who answered, with no members where one does not
   * vote itself.
   */
  public static VoterEligibility of(
      String name, VoterIdentity own, List<String> founders, Collection<PeerStatus> told) {
    PeerStatus newest =
        told.stream()
            .filter(one -> !one.members().isEmpty())
            .max(Comparator.comparingLong(PeerStatus::charter))
            .orElse(null);
    boolean newer = newest != null && (own == null || newest.charter() > own.charter());
    if (newer && !newest.members().contains(name)) {
      return waits(
          "charter "
              + newest.charter()
              + " has other voters: "
              + String.join(", ", newest.members()));
    }
    if (told.stream()
        .anyMatch(
            one ->
                !one.sealOfAsker().isEmpty()
                    && (own == null
                        || (one.charter() >= own.charter()
                            && !one.sealOfAsker().equals(own.id()))))) {
      return waits("it has voted with another folder: take it out and in again");
    }
    // One that leads knows all that was agreed on; else it takes all that can have agreed on
    // anything.
    List<String> others =
        (newest == null ? founders : newest.members())
            .stream().filter(one -> !one.equals(name)).toList();
    boolean allTell =
        told.stream()
            .filter(one -> one.fresh() || !one.members().isEmpty())
            .map(PeerStatus::voter)
            .toList()
            .containsAll(others);
    if (own == null
        && !allTell
        && told.stream()
            .noneMatch(
                one -> one.leads() && one.charter() == (newest == null ? 0 : newest.charter()))) {
      return waits("its folder is empty, and not all other voters tell whether it has voted");
    }
    if (newer) {
      return new VoterEligibility(Kind.JOIN, newest.charter(), newest.members(), "");
    }
    if (own == null) {
      return new VoterEligibility(Kind.FOUND, 0, founders, "");
    }
    boolean out =
        newest != null
            && newest.charter() == own.charter()
            && told.stream()
                .allMatch(one -> one.members().isEmpty() || !one.members().contains(name));
    return out
        ? waits("it was taken out")
        : new VoterEligibility(Kind.RESUME, own.charter(), own.members(), "");
  }

  private static VoterEligibility waits(String why) {
    return new VoterEligibility(Kind.WAIT, 0, List.of(), why);
  }
}
