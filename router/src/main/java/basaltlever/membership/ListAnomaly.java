package basaltlever.membership;

/** Reason why a router suspends a list. */
public enum ListAnomaly {
  /** The list is not suspended. */
  NONE,
  /** The generation is older than that of the last accepted list. */
  BACK,
  /** The list contains no endpoint, or only endpoints that are gone. */
  EMPTY,
  /** The list lacks most of the endpoints that were ready in the last accepted list. */
  SHRUNK
}
