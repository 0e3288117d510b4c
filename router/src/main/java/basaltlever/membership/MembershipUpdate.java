package basaltlever.membership;

import java.util.List;

/**
 * What the leader answers to a router's report, with the grant of the lease.
 *
 * @param book coordinator term of this leader
 * @param place position that the router has read up to with these marks
 * @param marks drain marks that the router has not read yet
 * @param marksEnd how many of the router's own marks the leader has by now
 * @param verdict on the list with the following version and digest
 * @param at list version of the report that this answers
 * @param digest of the report that this answers
 * @param era of the current endpoint lists
 * @param seatsNumber number of the last change of a group assignment
 * @param seats group assignments that changed after the number that the router has
 */
public record MembershipUpdate(
    long book,
    long place,
    List<DrainMark> marks,
    long marksEnd,
    ListAgreement verdict,
    ListVersion at,
    long digest,
    long era,
    long seatsNumber,
    List<GroupAssignment> seats) {}
