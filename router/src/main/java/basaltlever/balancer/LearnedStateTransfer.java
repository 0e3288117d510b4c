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
    balance.advanceTo(at);
    Moment now = at;
    Endpoint node = balance.table.endpoint(id);
    ReplicaGroup home = node.group();
    Moment denied =
        home.lostPrimary() == node
            ? node.roles().lastNotPrimaryReportAt().later(home.holdSince())
            : node.roles().lastNotPrimaryReportAt();
    boolean cold = balance.slowStart.warmUpShare(node) < 1;
    return new EndpointState(
        home.number(),
        Math.max(0, node.listedStart().micros()),
        !balance.context.isListedForUse(node),
        home.primary() == node,
        ago(node.warmUp().startedAt()),
        ago(denied),
        node.health().isSilent(),
        node.health().isDown() ? ago(node.health().downSince()) : EndpointState.NEVER,
        Math.min(1, balance.health.failureRate(node)),
        node.load().latencyStrain().at(now, LoadBalancer.FORGIVEN),
        node.load().capacity(),
        node.health().consecutiveFullAnswers(),
        node.health().backoffUntil().since(now).longer(Span.NONE),
        balance.freshness.estimatedLag(node),
        balance.slowStart.chargedStatements(node),
        cold ? ago(node.warmUp().chargedAt()) : EndpointState.NEVER);
  }

  /** Executions that are out at it. */
  public int out(int id) {
    return balance.table.endpoint(id).load().inFlight();
  }

  private Span ago(Moment then) {
    return then.isAfter(Moment.LONG_AGO) ? balance.now.since(then) : EndpointState.NEVER;
  }

  public List<GroupState> learnedOfGroups(Moment at) {
    balance.advanceTo(at);
    Moment now = at;
    return balance.table.groups().stream()
        .sorted(Comparator.comparingInt(group -> group.number()))
        .map(
            group ->
                new GroupState(
                    group.number(),
                    group.replicaCongestion().at(now, LoadBalancer.REMEMBERED),
                    group.primaryCongestion().at(now, LoadBalancer.REMEMBERED)))
        .toList();
  }

  /**
   * What another process learned of a node that was listed just now, aged by the caller. It only
   * ever makes for more care: no position, role or warmth of it is believed, and of each bound the
   * tighter one holds.
   */
  public void recalled(Moment at, int id, EndpointState view) {
    balance.advanceTo(at);
    Moment now = at;
    Endpoint node = balance.table.endpoint(id);
    node.roles().recordNotPrimary(then(view.deniedAgo()).earlier(now.plus(LoadBalancer.SECOND)));
    node.health()
        .failureRate()
        .set(now, Math.max(balance.health.failureRate(node), view.failing()));
    node.load()
        .latencyStrain()
        .set(
            now,
            Math.max(node.load().latencyStrain().at(now, LoadBalancer.FORGIVEN), view.strained()));
    node.load()
        .setCapacity(
            Math.max(
                EndpointHealth.MIN_CAPACITY_ATTEMPTS,
                Math.min(node.load().capacity(), view.room())));
    node.health().restoreFullAnswers(view.turnedAway());
    node.health()
        .backOffUntil(
            node.health()
                .backoffUntil()
                .later(now.plus(view.rests().shorter(LoadBalancer.SECOND))));
    balance.freshness.observeLag(node, balance.freshness.estimatedLag(node).longer(view.lag()));
    if (view.silent() && !node.health().isSilent()) {
      balance.health.markSilent(node);
    }
    if (view.isDown() && !node.health().isDown()) {
      balance.health.markDown(node);
      node.health().restoreDownSince(then(view.downFor()));
    }
    balance.slowStart.recordStart(node, then(view.startedAgo()));
    if (balance.slowStart.warmUpShare(node) < 1) {
      // What the earlier process sent counts as this one's: a restart is no fresh budget.
      balance.slowStart.restoreCharge(
          node, view.coldSpent(), then(view.coldAgo()).later(Moment.LONG_AGO).earlier(now));
    }
    if (view.drains() && node.lifecycle() != EndpointLifecycle.GONE) {
      node.setWasDraining(true);
      balance.relist(node, EndpointLifecycle.DRAINING);
    }
    if (view.primary() && balance.agreed.allowance().polls() && !node.polling().isInFlight()) {
      // Asked before all others, in whatever order the list names them.
      balance.polls.send(node);
    }
  }

  private Moment then(Span ago) {
    return ago.isShorterThan(EndpointState.NEVER) ? balance.now.minus(ago) : Moment.LONG_AGO;
  }

  public void recalled(Moment at, GroupState view) {
    balance.advanceTo(at);
    Moment now = at;
    ReplicaGroup group = balance.table.knownGroup(view.group());
    if (group != null) {
      group
          .replicaCongestion()
          .set(
              now,
              Math.max(group.replicaCongestion().at(now, LoadBalancer.REMEMBERED), view.jam()));
      group
          .primaryCongestion()
          .set(
              now,
              Math.max(
                  group.primaryCongestion().at(now, LoadBalancer.REMEMBERED), view.primaryJam()));
    }
  }
}
