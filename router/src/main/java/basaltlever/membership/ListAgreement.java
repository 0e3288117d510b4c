package basaltlever.membership;

/** How the latest list of one router agrees with the lists of the other routers. */
public enum ListAgreement {
  /** Too few routers have reported, or the leader can't judge yet. */
  UNTOLD,
  /** Most routers hold the same list. */
  SEEN,
  /** Most routers have held the same list, and some have a newer one by now. */
  PASSED,
  /** It is newer than what most routers hold. */
  AHEAD,
  /** Most routers hold a newer list. */
  BEHIND,
  /** Other routers hold different contents under the same version. */
  DISPUTED
}
