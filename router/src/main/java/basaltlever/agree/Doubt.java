package basaltlever.agree;

/**
 * Why a list is held off: it counts back, names nobody, or lacks most of the members in service at
 * once.
 */
public enum Doubt {
  NONE,
  BACK,
  EMPTY,
  SHRUNK
}
