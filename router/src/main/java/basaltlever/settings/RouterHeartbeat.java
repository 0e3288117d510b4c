package basaltlever.settings;

/**
 * One heartbeat sent by a router to the leader.
 *
 * @param router name of the router
 * @param incarnation number of the router's process, which changes with a restart
 * @param number number of the heartbeat within that process
 * @param inForce number of the version that the router has in force
 * @param acknowledged number of the prepared version that the router complies with, or 0
 * @param rejected number of the prepared version that the router can't comply with, or 0
 * @param rejectionReason why it can't comply; empty if it rejects no version
 * @param holdsLease whether the router held a lease when it sent the heartbeat
 */
public record RouterHeartbeat(
    String router,
    long incarnation,
    long number,
    long inForce,
    long acknowledged,
    long rejected,
    String rejectionReason,
    boolean holdsLease) {}
