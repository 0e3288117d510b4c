package basaltlever.membership;

import java.util.List;

/**
 * What a router says of its list with a beat.
 *
 * @param at stamp of what its discovery told last, taken or held off
 * @param digest of that list; 0 where there is none yet
 * @param doubt why it is held off
 * @param marks those that its leader may lack
 * @param marksEnd how many of its marks its leader has once it has taken these
 * @param wanted what its list says of groups, and is not agreed yet
 * @param free members on the move, by their names, that it does not use and has nothing out at
 * @param book of which leader's book it has read
 * @param read up to which place of that book
 * @param seatsRead number of the table of seats that it has
 */
public record HeartbeatReport(
    ListVersion at,
    long digest,
    ListAnomaly doubt,
    List<DrainMark> marks,
    long marksEnd,
    List<GroupAssignment> wanted,
    List<String> free,
    long book,
    long read,
    long seatsRead) {
  /** Of a router that has heard of no list. */
  public static final HeartbeatReport NONE =
      new HeartbeatReport(
          ListVersion.NEVER, 0, ListAnomaly.NONE, List.of(), 0, List.of(), List.of(), 0, 0, -1);
}
