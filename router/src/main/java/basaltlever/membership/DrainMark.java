package basaltlever.membership;

/**
 * States that an endpoint must not receive new statements, according to a router's list. Marks only
 * restrict, so every router that receives one applies it without a vote. A newer mark replaces an
 * older one, and only a list newer than the mark revokes it.
 *
 * @param endpoint name of the endpoint
 * @param listVersion version of the list that gave rise to the mark
 * @param gone true if the endpoint is gone, false if it is draining
 */
public record DrainMark(String endpoint, ListVersion listVersion, boolean gone) {
  /**
   * Whether this mark supersedes the other, which may be null. The newer mark supersedes; within
   * one list version a drain supersedes a removal, since routers may be configured to ignore
   * removals.
   */
  public boolean supersedes(DrainMark other) {
    if (other == null) {
      return true;
    }
    int order = listVersion.compareTo(other.listVersion);
    return order > 0 || (order == 0 && other.gone && !gone);
  }
}
