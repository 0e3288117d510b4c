package basaltlever.snapshot;

import java.util.List;

/**
 * All that one router had learned at one moment: the content of a snapshot.
 *
 * @param deployment the deployment that the router belongs to
 * @param router the name of the router
 * @param sequence sequence number of the snapshot within its directory, from 1
 * @param writtenAtMicros microseconds of Unix time by the system clock, which may have been set
 *     since
 * @param monotonicMicros microseconds of the machine's monotonic clock, which restarts with the
 *     machine
 * @param bootId the boot of the machine that the monotonic clock belongs to; empty where unknown
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
  /** The same state under another sequence number. */
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
