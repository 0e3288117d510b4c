package basaltlever.membership;

/**
 * A router's list says that an endpoint must not get new work. Marks only restrict, so every router
 * that learns of one may apply it without a vote. A newer mark replaces an older one, and only a
 * list newer than the mark undoes it.
 *
 * @param endpoint name of the endpoint
 * @param listVersion version of the list that says so
 * @param gone whether the endpoint is gone, else it is draining
 */
public record DrainMark(String endpoint, ListVersion listVersion, boolean gone) {
  /**
   * Whether this mark supersedes the other, which may be null: the newer one does, and of one list
   * version the drain, since routers may be configured to ignore removals.
   */
  public boolean supersedes(DrainMark other) {
    if (other == null) {
      return true;
    }
    int order = listVersion.compareTo(other.listVersion);
    return order > 0 || (order == 0 && other.gone && !gone);
  }
}
