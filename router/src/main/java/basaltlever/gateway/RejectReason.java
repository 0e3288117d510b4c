package basaltlever.gateway;

/** Why a statement is refused though nothing of it was done. */
public enum RejectReason {
  /** No server had room for it, or no primary was found, for as long as it may wait. */
  OVERDUE,
  /** Its group's servers answer late; less important statements are not begun. */
  SHED,
  /** The hold has no room for it. */
  HOLD_FULL,
  /** Its attempts are used up, or what it asks for fails everywhere. */
  NO_ATTEMPT_LEFT
}
