package basaltlever.membership;

import java.util.List;

/**
 * Report of a router on its endpoint lists, sent with a heartbeat.
 *
 * @param listVersion version of its latest list, suspended or not
 * @param digest of the contents of that list; 0 before the first list
 * @param anomaly reason for suspending that list
 * @param drainMarks drain marks that the leader may lack
 * @param drainMarksEnd count that the leader acknowledges after receiving these marks
 * @param requestedAssignments group assignments that its list needs and that are not agreed on yet
 * @param releasedEndpoints names of endpoints that are changing groups and that the router has
 *     stopped using
 * @param coordinatorTerm term of the coordinator whose drain marks it has read
 * @param readPosition position up to which it has read in that term
 * @param assignmentChangeNumber number of the last change of a group assignment that it has
 *     received
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
    long assignmentChangeNumber) {
  /** Report of a router that has received no list. */
  public static final HeartbeatReport NONE =
      new HeartbeatReport(
          ListVersion.NONE, 0, ListAnomaly.NONE, List.of(), 0, List.of(), List.of(), 0, 0, -1);
}
