package basaltlever.core;

import basaltlever.gateway.RejectReason;
import basaltlever.switchover.PlannedSwitchover;
import basaltlever.time.Moment;
import basaltlever.time.Span;

/**
 * Carries out decisions. Statements and endpoints are identified by the ids of the caller: tickets
 * for statements, names for endpoints.
 */
public interface Effects<N> {
  /**
   * Starts an attempt. A timeout of zero means that the attempt may run until the client's
   * deadline. An attempt that can't be sent by {@code sendBy} must not be sent.
   */
  void startAttempt(long ticket, int attempt, N endpoint, Span timeout, Moment sendBy);

  /** Cancels an attempt in flight. */
  void cancel(long ticket, int attempt);

  /**
   * Sends the final response: the statement was not executed and can be retried safely, preferably
   * after the given delay (Retry-After).
   */
  void reject(long ticket, Span retryAfter, RejectReason reason);

  /** Sends the final response: the statement may or may not have taken effect. */
  void abort(long ticket);

  /** Polls an endpoint for its load report. */
  void poll(N endpoint);

  /** Closes idle connections to an endpoint. */
  void closeIdleConnections(N endpoint);

  /** Called when an endpoint is removed. If it is listed again, it is treated as a new endpoint. */
  void onEndpointRemoved(N endpoint);

  /** Requests the endpoint list and a subscription to its changes. */
  void watchEndpointList();

  /** Sets the timer and replaces an earlier one. */
  void setTimer(Span delay);

  /** Opens connections to an endpoint until the given number is idle. */
  void openConnections(N endpoint, int connections);

  /** Reports the phase of a planned switchover to on-call. */
  void onSwitchoverPhaseChanged(int group, PlannedSwitchover.Phase phase, N target);

  /** Reports to on-call that the primary of a group was found or lost. */
  void onPrimaryChanged(int group, N endpoint, boolean found);

  /**
   * Reports to on-call how many groups and endpoints are polled regularly, and how many endpoints
   * are listed.
   */
  default void onPolledGroupsChanged(int groups, int endpoints, int listed) {}
}
