package basaltlever.membership;

import java.util.List;

/**
 * What a router reports of its endpoint lists with a heartbeat.
 *
 * @param listVersion version of its latest list, suspended or not
 * @param digest of the contents of that list; 0 where there is none yet
 * @param anomaly why that list is suspended
 * @param drainMarks drain marks that the leader may lack
 * @param drainMarksEnd how many of the router's marks the leader has once it has taken these
 * @param requestedAssignments group assignments that its list needs and that are not agreed yet
 * @param releasedEndpoints names of endpoints that are changing groups and that it does not use any
 *     more
 * @param coordinatorTerm coordinator term that it has read
 * @param readPosition position that it has read up to in that term
 * @param assignmentsNumber number of the last change of a group assignment that it has
 */
public record HeartbeatReport(
    ListVersion listVersion,
    long digest,
    ListAnomaly anomaly,
    List<DrainMark> drainMarks,
    long drainMarksEnd,
    List<GroupAssignment> requestedAssignments,
    List<String> releasedEndpoints,
    long coordinatorTerm,
    long readPosition,
    long assignmentsNumber) {
  /** The report of a router that has received no list. */
  public static final HeartbeatReport NONE =
      new HeartbeatReport(
          ListVersion.NONE, 0, ListAnomaly.NONE, List.of(), 0, List.of(), List.of(), 0, 0, -1);
}
