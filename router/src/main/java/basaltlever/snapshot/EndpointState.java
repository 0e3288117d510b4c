package basaltlever.snapshot;

import basaltlever.time.Span;

/**
 * What was learned of one node, told in spans before the moment of the view, so that it means the
 * same on another process's clock. A span of {@link #NEVER} stands for what has not happened.
 *
 * @param group its group's number
 * @param listedStart when it started, in microseconds of Unix time as the member list told it; 0
 *     where untold
 * @param drains the list said that nothing new may go there
 * @param primary it was held to be its group's primary
 * @param startedAgo since its start, as listed or as seen by the router itself where that was later
 * @param deniedAgo since it was known not to be primary, or was lost as one; negative where that
 *     reaches ahead
 * @param silent it owed answers and gave none
 * @param downFor since when it could not be reached
 * @param failing 0 to 1, how often it lost or failed what it was given
 * @param strained response time over SLO time, beyond what was usual
 * @param room executions the router might have out there
 * @param turnedAway how often in a row it turned work away as full
 * @param rests how long it was to be left alone
 * @param lag how far behind it was when last seen
 * @param coldSpent what of a cold node's budget was spent and had not come back, in typical
 *     executions
 * @param coldAgo since when that has been coming back
 */
public record EndpointState(
    int group,
    long listedStart,
    boolean drains,
    boolean primary,
    Span startedAgo,
    Span deniedAgo,
    boolean silent,
    Span downFor,
    double failing,
    double strained,
    double room,
    int turnedAway,
    Span rests,
    Span lag,
    double coldSpent,
    Span coldAgo) {
  public static final Span NEVER = new Span(Long.MAX_VALUE / 8);

  public boolean isDown() {
    return downFor.isShorterThan(NEVER);
  }

  /**
   * True where nothing in it would make a fresh router any more careful: the first to go where
   * space is short.
   */
  public boolean saysLittle() {
    return !drains
        && !primary
        && !silent
        && !isDown()
        && failing < 0.05
        && strained < 0.05
        && coldSpent <= 0;
  }
}
