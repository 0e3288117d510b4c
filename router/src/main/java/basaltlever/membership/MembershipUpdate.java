package basaltlever.membership;

import java.util.List;

/**
 * What the leader tells a router of lists with a grant.
 *
 * @param book tells this leader's book from another's
 * @param place up to which the marks bring the reader
 * @param marks that the router has not read yet
 * @param marksEnd how many of the router's own marks the leader has by now
 * @param verdict on the list of the stamp and digest that follow
 * @param at of the report that this answers
 * @param digest of the report that this answers
 * @param era in which lists are counted
 * @param seatsNumber of the table of seats as these bring it
 * @param seats that have changed since the number that the router has
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
