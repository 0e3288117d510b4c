package basaltlever.membership;

/**
 * What the fleet makes of a router's list: most hold the very same; most held it and have gone on;
 * it is newer than what most hold; it is older; most hold another of the same generation, so that
 * discovery tells two things.
 */
public enum ListAgreement {
  UNTOLD,
  SEEN,
  PASSED,
  AHEAD,
  BEHIND,
  DISPUTED
}
