package basaltlever.core;

import basaltlever.gateway.RejectReason;
import basaltlever.switchover.PlannedSwitchover;
import basaltlever.time.Moment;
import basaltlever.time.Span;

/**
 * Carries out decisions, in the ids of the outside: tickets for statements, names for endpoints.
 */
public interface Effects<N> {
  /**
   * Starts an attempt. A timeout of zero lasts as long as the client waits; an attempt that can't
   * be sent by the given moment must not be sent.
   */
  void startAttempt(long ticket, int attempt, N endpoint, Span timeout, Moment sendBy);

  /** Cancels an attempt in flight. */
  void cancel(long ticket, int attempt);

  /** Final answer: a retry is harmless, and best after the span (Retry-After). */
  void reject(long ticket, Span retryAfter, RejectReason reason);

  /** Final answer: the statement may or may not have had an effect. */
  void abort(long ticket);

  /** Polls an endpoint for its load report. */
  void poll(N endpoint);

  /** Closes idle connections to an endpoint. */
  void closeIdleConnections(N endpoint);

  /** The endpoint is gone; listed again, it comes as a new one. */
  void onEndpointRemoved(N endpoint);

  /** Asks for the endpoint list and its changes from now on. */
  void watchEndpointList();

  /** Sets the timer, in place of an earlier one. */
  void setTimer(Span delay);

  /** Opens connections to an endpoint until so many are idle. */
  void openConnections(N endpoint, int connections);

  /** Reports the phase of a planned switchover to on-call. */
  void onSwitchoverPhaseChanged(int group, PlannedSwitchover.Phase phase, N target);

  /** Reports to on-call that a group has found its primary, or lost it. */
  void onPrimaryChanged(int group, N endpoint, boolean found);

  /**
   * Reports to on-call how many groups and members are polled regularly, of how many members that
   * are listed.
   */
  default void onPolledGroupsChanged(int groups, int endpoints, int listed) {}
}
