package basaltlever.membership;

import java.util.List;

/**
 * What a router reports of its endpoint lists with a heartbeat.
 *
 * @param at version of its latest list, suspended or not
 * @param digest of the contents of that list; 0 where there is none yet
 * @param doubt why that list is suspended
 * @param marks drain marks that the leader may lack
 * @param marksEnd how many of the router's marks the leader has once it has taken these
 * @param wanted group assignments that its list needs and that are not agreed yet
 * @param free names of endpoints that are changing groups and that it does not use any more
 * @param book coordinator term that it has read
 * @param read position that it has read up to in that term
 * @param seatsRead number of the last change of a group assignment that it has
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
  /** The report of a router that has received no list. */
  public static final HeartbeatReport NONE =
      new HeartbeatReport(
          ListVersion.NEVER, 0, ListAnomaly.NONE, List.of(), 0, List.of(), List.of(), 0, 0, -1);
}
