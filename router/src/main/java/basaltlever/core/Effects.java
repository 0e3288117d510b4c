package basaltlever.core;

import basaltlever.gateway.RejectReason;
import basaltlever.switchover.PlannedSwitchover;
import basaltlever.time.Moment;
import basaltlever.time.Span;

/**
 * What carries out decisions, in the ids of the outside: tickets for statements, names for nodes.
 */
public interface Effects<N> {
  /**
   * A span of zero lasts as long as the client waits; what can't be sent by the moment must not be.
   */
  void execute(long ticket, int execution, N node, Span timeout, Moment sendBy);

  void cancel(long ticket, int execution);

  void reject(long ticket, Span comeBackAfter, RejectReason why);

  void abort(long ticket);

  void poll(N node);

  void letGo(N node);

  /** The node is gone; should it be listed again, it comes as a new one. */
  void forget(N node);

  void watch();

  void wake(Span fromNow);

  void prepare(N node, int connections);

  void change(int group, PlannedSwitchover.Phase phase, N target);

  void primary(int group, N node, boolean found);

  /**
   * Tells on-call how many groups and members are polled regularly, of how many members that are
   * listed.
   */
  default void watched(int groups, int members, int listed) {}
}
