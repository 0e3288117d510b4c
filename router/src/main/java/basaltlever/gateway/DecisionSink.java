package basaltlever.gateway;

import basaltlever.switchover.PlannedSwitchover;
import basaltlever.time.Moment;
import basaltlever.time.Span;

/**
 * What the decisions may do to the world. Nodes and statements go by the small indices their caller
 * gave them.
 */
public interface DecisionSink {
  /**
   * Starts an execution; they count 0, 1, 2 for each statement. A span of zero lasts as long as the
   * client. What can't be sent by the given moment must not be sent.
   */
  void execute(int statement, int node, Span timeout, Moment sendBy);

  void cancel(int statement, int execution);

  /** Final answer: trying again is harmless, and best after the span. */
  void reject(int statement, Span comeBackAfter, RejectReason why);

  /** Final answer: it may or may not have had an effect. */
  void abort(int statement);

  void poll(int node);

  /** Closes idle connections to a node. */
  void letGo(int node);

  /** The node is gone and nothing of it is out: its index is free for another. */
  void forget(int node);

  /** Asks for the member list and its changes from now on. */
  void watch();

  void wake(Span fromNow);

  /** Opens connections to a node ahead of need, until so many stand idle. */
  void prepare(int node, int connections);

  /** Tells on-call of a planned change's phase; its target may be -1. */
  void change(int group, PlannedSwitchover.Phase phase, int target);

  /**
   * Tells on-call how many groups and members are polled regularly, of how many members that are
   * listed.
   */
  default void watched(int groups, int members, int listed) {}

  /** Tells on-call that a group has found its primary, or lost it. */
  void primary(int group, int node, boolean found);
}
