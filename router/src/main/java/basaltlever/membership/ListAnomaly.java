package basaltlever.membership;

/** Why a router suspends a list. */
public enum ListAnomaly {
  /** It does not. */
  NONE,
  /** Its generation is older than that of the list before. */
  BACK,
  /** It names no endpoint. */
  EMPTY,
  /** It lacks most of the endpoints that were ready in the list before. */
  SHRUNK
}
