package basaltlever.gateway;

/** The reason why a statement is rejected without having been executed. */
public enum RejectReason {
  /** No endpoint had capacity, or no primary was found, before the statement's time limit. */
  OVERDUE,
  /** The endpoints of its group respond late; statements of lower priority are not started. */
  SHED,
  /** The hold queue is full. */
  HOLD_FULL,
  /** All attempts are used up, or the statement fails on every endpoint. */
  NO_ATTEMPT_LEFT
}
