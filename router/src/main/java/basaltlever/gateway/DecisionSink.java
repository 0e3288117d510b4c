package basaltlever.gateway;

import basaltlever.switchover.PlannedSwitchover;
import basaltlever.time.Moment;
import basaltlever.time.Span;

/**
 * The outputs of the decisions. Endpoints and statements go by the small indices that their caller
 * gave them.
 */
public interface DecisionSink {
  /**
   * Starts an attempt; they count 0, 1, 2 for each statement. A timeout of zero lasts as long as
   * the client waits. An attempt that can't be sent by the given moment must not be sent.
   */
  void startAttempt(int statement, int endpoint, Span timeout, Moment sendBy);

  /** Cancels an attempt in flight. */
  void cancel(int statement, int attempt);

  /** Final answer: a retry is harmless, and best after the span (Retry-After). */
  void reject(int statement, Span retryAfter, RejectReason reason);

  /** Final answer: it may or may not have had an effect. */
  void abort(int statement);

  /** Polls an endpoint for its load report. */
  void poll(int endpoint);

  /** Closes idle connections to an endpoint. */
  void closeIdleConnections(int endpoint);

  /** The endpoint is gone with nothing in flight: its index is free for another. */
  void onEndpointRemoved(int endpoint);

  /** Asks for the endpoint list and its changes from now on. */
  void watchEndpointList();

  /** Sets the timer, in place of an earlier one. */
  void setTimer(Span delay);

  /** Opens connections to an endpoint ahead of need, until so many are idle. */
  void openConnections(int endpoint, int connections);

  /** Reports the phase of a planned switchover to on-call; its target may be -1. */
  void onSwitchoverPhaseChanged(int group, PlannedSwitchover.Phase phase, int target);

  /**
   * Reports to on-call how many groups and members are polled regularly, of how many members that
   * are listed.
   */
  default void onPolledGroupsChanged(int groups, int endpoints, int listed) {}

  /** Reports to on-call that a group has found its primary, or lost it. */
  void onPrimaryChanged(int group, int endpoint, boolean found);
}
