package basaltlever.snapshot;

import java.util.List;

/**
 * All that one router had learned at one moment.
 *
 * @param number counts the views of a folder, from 1
 * @param writtenAt microseconds of Unix time by the system's clock, which may have been set since
 * @param steady microseconds of the machine's steady clock, which starts anew with the machine
 * @param boot names the machine's run that the steady clock belongs to; empty where that can't be
 *     known
 * @param listed the version of the member list
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
  public LearnedState numbered(long next) {
    return new LearnedState(
        deployment, router, next, writtenAt, steady, boot, listed, nodes, groups);
  }
}
