package basaltlever.membership;

import java.util.List;

/**
 * What the leader answers to a router's report, with the grant of the lease.
 *
 * @param coordinatorTerm coordinator term of this leader
 * @param readPosition position that the router has read up to with these marks
 * @param drainMarks drain marks that the router has not read yet
 * @param drainMarksEnd how many of the router's own marks the leader has by now
 * @param agreement on the list with the following version and digest
 * @param listVersion list version of the report that this answers
 * @param digest of the report that this answers
 * @param era of the current endpoint lists
 * @param assignmentChangeNumber number of the last change of a group assignment
 * @param assignments group assignments that changed after the number that the router has
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
