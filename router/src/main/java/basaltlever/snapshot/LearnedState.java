package basaltlever.snapshot;

import java.util.List;

/**
 * The complete learned state of a router at one time: the content of a snapshot.
 *
 * @param deployment the deployment that the router belongs to
 * @param router the name of the router
 * @param sequence sequence number of the snapshot within its directory, from 1
 * @param writtenAtMicros time of the snapshot in microseconds of Unix time; the system clock may
 *     have been adjusted since
 * @param monotonicMicros time of the snapshot in microseconds of the machine's monotonic clock,
 *     which restarts with the machine
 * @param bootId identifier of the boot that the monotonic clock belongs to; empty if unknown
 * @param listVersion the version of the endpoint list
 * @param endpoints the endpoints, by their names in the endpoint list
 * @param groups the replica groups
 */
public record LearnedState(
    String deployment,
    String router,
    long sequence,
    long writtenAtMicros,
    long monotonicMicros,
    String bootId,
    long listVersion,
    List<StoredEndpoint> endpoints,
    List<GroupState> groups) {
  /** Returns this state with another sequence number. */
  public LearnedState withSequence(long next) {
    return new LearnedState(
        deployment,
        router,
        next,
        writtenAtMicros,
        monotonicMicros,
        bootId,
        listVersion,
        endpoints,
        groups);
  }
}
