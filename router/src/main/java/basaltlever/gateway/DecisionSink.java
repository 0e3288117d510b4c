package basaltlever.gateway;

import basaltlever.switchover.PlannedSwitchover;
import basaltlever.time.Moment;
import basaltlever.time.Span;

/**
 * Receives the outputs of routing decisions. Endpoints and statements are identified by the small
 * indices that the caller assigned to them.
 */
public interface DecisionSink {
  /**
   * Starts an attempt; the attempts of a statement are numbered 0, 1, 2. A timeout of zero means
   * that the attempt may run until the client's deadline. An attempt that can't be sent by {@code
   * sendBy} must not be sent.
   */
  void startAttempt(int statement, int endpoint, Span timeout, Moment sendBy);

  /** Cancels an attempt in flight. */
  void cancel(int statement, int attempt);

  /**
   * Sends the final response: the statement was not executed and can be retried safely, preferably
   * after the given delay (Retry-After).
   */
  void reject(int statement, Span retryAfter, RejectReason reason);

  /** Sends the final response: the statement may or may not have taken effect. */
  void abort(int statement);

  /** Polls an endpoint for its load report. */
  void poll(int endpoint);

  /** Closes idle connections to an endpoint. */
  void closeIdleConnections(int endpoint);

  /** Called when an endpoint is removed and has nothing in flight; its index may be reused. */
  void onEndpointRemoved(int endpoint);

  /** Requests the endpoint list and a subscription to its changes. */
  void watchEndpointList();

  /** Sets the timer and replaces an earlier one. */
  void setTimer(Span delay);

  /** Opens connections to an endpoint in advance, until the given number is idle. */
  void openConnections(int endpoint, int connections);

  /** Reports the phase of a planned switchover to on-call; the target may be -1. */
  void onSwitchoverPhaseChanged(int group, PlannedSwitchover.Phase phase, int target);

  /**
   * Reports to on-call how many groups and endpoints are polled regularly, and how many endpoints
   * are listed.
   */
  default void onPolledGroupsChanged(int groups, int endpoints, int listed) {}

  /** Reports to on-call that the primary of a group was found or lost. */
  void onPrimaryChanged(int group, int endpoint, boolean found);
}
