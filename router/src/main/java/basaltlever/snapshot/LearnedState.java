package basaltlever.snapshot;

import java.util.List;

/**
 * All that one router had learned at one moment: the content of a snapshot.
 *
 * @param deployment the deployment that the router belongs to
 * @param router the name of the router
 * @param number sequence number of the snapshot within its directory, from 1
 * @param writtenAt microseconds of Unix time by the system clock, which may have been set since
 * @param steady microseconds of the machine's monotonic clock, which restarts with the machine
 * @param boot the boot of the machine that the monotonic clock belongs to; empty where unknown
 * @param listed the version of the endpoint list
 * @param nodes the endpoints, by their names in the endpoint list
 * @param groups the replica groups
 */
public record LearnedState(
    String deployment,
    String router,
    long number,
    long writtenAt,
    long steady,
    String boot,
    long listed,
    List<KnownEndpoint> nodes,
    List<GroupState> groups) {
  /** The same state under another sequence number. */
  public LearnedState withSequence(long next) {
    return new LearnedState(
        deployment, router, next, writtenAt, steady, boot, listed, nodes, groups);
  }
}
