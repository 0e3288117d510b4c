package basaltlever.membership;

import java.util.List;

/**
 * Answer of the leader to a router's report, sent with the grant of the lease.
 *
 * @param coordinatorTerm term of the coordinator at this leader
 * @param readPosition position up to which the router has read after these marks
 * @param drainMarks drain marks that the router has not read yet
 * @param drainMarksEnd count of the router's own marks that the leader acknowledges
 * @param agreement agreement on the list with the following version and digest
 * @param listVersion list version of the answered report
 * @param digest list digest of the answered report
 * @param era era of the current endpoint lists
 * @param assignmentChangeNumber number of the last change of a group assignment
 * @param assignments group assignments that changed after the number reported by the router
 */
public record MembershipUpdate(
    long coordinatorTerm,
    long readPosition,
    List<DrainMark> drainMarks,
    long drainMarksEnd,
    ListAgreement agreement,
    ListVersion listVersion,
    long digest,
    long era,
    long assignmentChangeNumber,
    List<GroupAssignment> assignments) {}
