package basaltlever.balancer;

import basaltlever.gateway.EndpointLifecycle;
import basaltlever.model.Endpoint;
import basaltlever.model.ReplicaGroup;
import basaltlever.snapshot.EndpointState;
import basaltlever.snapshot.GroupState;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.Comparator;
import java.util.List;

/**
 * What the decisions have learned, as records that outlive them, and what such records do to fresh
 * ones.
 */
public final class LearnedStateTransfer {
  private final LoadBalancer balance;

  LearnedStateTransfer(LoadBalancer balance) {
    this.balance = balance;
  }

  /** What has been learned of a node by now, without a word on who it is. */
  public EndpointState learned(Moment at, int id) {
    balance.now = at;
    Moment now = at;
    Endpoint node = balance.node(id);
    ReplicaGroup home = node.group;
    Moment denied = home.lost == node ? node.denied.later(home.holdSince) : node.denied;
    boolean cold = balance.warmth(node) < 1;
    return new EndpointState(
        home.number,
        Math.max(0, node.listedStart.micros()),
        !balance.listedForUse(node),
        home.primary == node,
        ago(node.startedAt),
        ago(denied),
        node.silent,
        node.down ? ago(node.downSince) : EndpointState.NEVER,
        Math.min(1, balance.failing(node)),
        node.strained.at(now, LoadBalancer.FORGIVEN),
        node.room,
        node.fullInRow,
        node.restsUntil.since(now).longer(Span.NONE),
        balance.lag(node),
        cold ? node.coldWork / balance.typicalOfAll : 0,
        cold ? ago(node.coldAt) : EndpointState.NEVER);
  }

  /** Executions that are out at it. */
  public int out(int id) {
    return balance.node(id).out;
  }

  private Span ago(Moment then) {
    return then.isAfter(Moment.LONG_AGO) ? balance.now.since(then) : EndpointState.NEVER;
  }

  public List<GroupState> learnedOfGroups(Moment at) {
    balance.now = at;
    Moment now = at;
    return balance.groups.values().stream()
        .sorted(Comparator.comparingInt(group -> group.number))
        .map(
            group ->
                new GroupState(
                    group.number,
                    group.jam.at(now, LoadBalancer.REMEMBERED),
                    group.primaryJam.at(now, LoadBalancer.REMEMBERED)))
        .toList();
  }

  /**
   * What another process learned of a node that was listed just now, aged by the caller. It only
   * ever makes for more care: no position, role or warmth of it is believed, and of each bound the
   * tighter one holds.
   */
  public void recalled(Moment at, int id, EndpointState view) {
    balance.now = at;
    Moment now = at;
    Endpoint node = balance.node(id);
    node.denied = node.denied.later(then(view.deniedAgo()).earlier(now.plus(LoadBalancer.SECOND)));
    node.failing.set(now, Math.max(balance.failing(node), view.failing()));
    node.strained.set(now, Math.max(node.strained.at(now, LoadBalancer.FORGIVEN), view.strained()));
    node.room = Math.max(LoadBalancer.LEAST_ROOM, Math.min(node.room, view.room()));
    node.fullInRow = Math.min(5, Math.max(node.fullInRow, view.turnedAway()));
    node.restsUntil = node.restsUntil.later(now.plus(view.rests().shorter(LoadBalancer.SECOND)));
    balance.sight(node, balance.lag(node).longer(view.lag()));
    if (view.silent() && !node.silent) {
      balance.fallSilent(node);
    }
    if (view.isDown() && !node.down) {
      balance.goDown(node);
      node.downSince = then(view.downFor());
    }
    balance.starts(node, then(view.startedAgo()));
    if (balance.warmth(node) < 1) {
      // Of what has come back since, only what the least rate gives: the yardstick is not known
      // yet.
      Moment since = then(view.coldAgo()).later(Moment.LONG_AGO).earlier(now);
      double back =
          balance.coldRate(node)
              * (1 - LoadBalancer.COLD_BURST)
              * now.since(since).over(LoadBalancer.SECOND);
      node.coldWork =
          Math.max(balance.coldLevel(node), view.coldSpent() * balance.typicalOfAll - back);
      node.coldAt = now;
      // What the earlier process sent counts as this one's: a restart is no fresh budget.
      node.coldUntried &= view.coldSpent() <= 0;
    }
    if (view.drains() && node.listing != EndpointLifecycle.GONE) {
      node.drainSeen = true;
      balance.relist(node, EndpointLifecycle.DRAINING);
    }
    if (view.primary() && balance.agreed.allowance().polls() && !node.pollOut) {
      // Asked before all others, in whatever order the list names them.
      balance.poll(node);
    }
  }

  private Moment then(Span ago) {
    return ago.isShorterThan(EndpointState.NEVER) ? balance.now.minus(ago) : Moment.LONG_AGO;
  }

  public void recalled(Moment at, GroupState view) {
    balance.now = at;
    Moment now = at;
    ReplicaGroup group = balance.groups.get(view.group());
    if (group != null) {
      group.jam.set(now, Math.max(group.jam.at(now, LoadBalancer.REMEMBERED), view.jam()));
      group.primaryJam.set(
          now, Math.max(group.primaryJam.at(now, LoadBalancer.REMEMBERED), view.primaryJam()));
    }
  }
}
