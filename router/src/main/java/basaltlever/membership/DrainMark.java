package basaltlever.membership;

/**
 * Somebody's list of this stamp says that nothing new may go to a member. Such facts only grow: a
 * newer one takes the place of an older one, and only a list that is newer than the mark undoes it.
 * So no vote is needed: whoever hears of one keeps to it.
 *
 * @param gone it is gone, else it drains
 */
public record DrainMark(String member, ListVersion at, boolean gone) {
  /**
   * The one that binds more: the newer; of one stamp the drain, which binds where a removal may
   * not.
   */
  public boolean outdoes(DrainMark other) {
    int newer = other == null ? 1 : at.compareTo(other.at);
    return newer > 0 || (newer == 0 && other.gone && !gone);
  }
}
