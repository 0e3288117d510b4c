package basaltlever.membership;

/** Agreement of one router's latest list with the lists of the other routers. */
public enum ListAgreement {
  /** Unknown: too few routers have reported, or the leader does not have sole authority. */
  UNTOLD,
  /** Most routers hold the same list. */
  SEEN,
  /** Most routers have held the same list, and some hold a newer one by now. */
  PASSED,
  /** The list is newer than the list that most routers hold. */
  AHEAD,
  /** Most routers hold a newer list. */
  BEHIND,
  /** Other routers hold different contents under the same version. */
  DISPUTED
}
