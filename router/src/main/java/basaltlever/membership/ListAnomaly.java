package basaltlever.membership;

/**
 * Why a list is held off: it counts back, names nobody, or lacks most of the members in service at
 * once.
 */
public enum ListAnomaly {
  NONE,
  BACK,
  EMPTY,
  SHRUNK
}
