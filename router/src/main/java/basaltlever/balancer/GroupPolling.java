package basaltlever.balancer;

import basaltlever.endpoints.PolledGroups;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.model.Endpoint;
import basaltlever.model.ReplicaGroup;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;

/** Which groups are polled all the time: all of a short list, those with most traffic of a long. */
final class GroupPolling {
  /** A group is used regularly where a second statement comes while the first is remembered. */
  private static final double REGULAR_STATEMENTS_PER_SECOND =
      1.5 / Timing.LONG_DECAY.over(Timing.ONE_SECOND);

  private final DecisionContext context;
  private final EndpointTable table;
  private final GroupSubsets subsets;
  private final PollScheduler scheduler;
  private final PolledGroups polledGroups = new PolledGroups();

  /** Whose listing or rules have changed, to be polled where their group is polled regularly. */
  private final List<Endpoint> relisted = new ArrayList<>();

  private boolean firstLookDone;
  private String reported = "";

  GroupPolling(
      DecisionContext context, EndpointTable table, GroupSubsets subsets, PollScheduler scheduler) {
    this.context = context;
    this.table = table;
    this.subsets = subsets;
    this.scheduler = scheduler;
  }

  /** The endpoint's listing has changed. */
  void endpointRelisted(Endpoint endpoint) {
    relisted.add(endpoint);
  }

  /** Chooses anew which groups are polled, once the list has been taken in. */
  void chooseGroups() {
    polledGroups.recount().forEach(this::stopPolling);
    if (relisted.isEmpty() || polledGroups.admitAll(table.groups())) {
      return;
    }
    if (!firstLookDone) {
      pollFirstPart();
    }
  }

  /** Polls those whose listing has changed. */
  void pollRelisted() {
    for (Endpoint endpoint : relisted) {
      if (scheduler.isPolledRegularly(endpoint)) {
        scheduler.pollNow(endpoint);
      }
    }
    relisted.clear();
  }

  /**
   * Polls a part of a long list once, so that the first statements find some roles and open
   * connections. Each router begins elsewhere, so that routers starting together spread their
   * polls.
   */
  private void pollFirstPart() {
    firstLookDone = true;
    List<ReplicaGroup> groups =
        new ArrayList<>(new LinkedHashSet<>(relisted.stream().map(Endpoint::group).toList()));
    Collections.rotate(groups, -subsets.startPosition(groups.size()));
    int polled = 0;
    for (ReplicaGroup group : groups) {
      for (Endpoint member : subsets.membersInUse(group)) {
        if (polled++ < PolledGroups.MAX_FIRST_POLLS) {
          scheduler.pollNow(member);
        }
      }
    }
  }

  private void stopPolling(ReplicaGroup group) {
    for (Endpoint member : subsets.membersInUse(group)) {
      if (!member.polling().isInFlight()) {
        scheduler.scheduleAt(member, Moment.NEVER);
      }
    }
  }

  /** A statement for the group has arrived: its traffic may now be enough for regular polls. */
  void statementArrived(ReplicaGroup group) {
    group
        .statementRate()
        .add(context.now(), Timing.LONG_DECAY, 1 / Timing.LONG_DECAY.over(Timing.ONE_SECOND));
    if (!group.isPolledRegularly() && hasRegularTraffic(group)) {
      admitByTraffic(group);
    }
  }

  private boolean hasRegularTraffic(ReplicaGroup group) {
    double perSecond = statementsPerSecond(group);
    // Looking up the members in use may choose them anew, so it must not depend on the rate.
    boolean paidFor = scheduler.isPaidFor(group, perSecond);
    return perSecond > REGULAR_STATEMENTS_PER_SECOND && paidFor;
  }

  private double statementsPerSecond(ReplicaGroup group) {
    return group.statementRate().valueAt(context.now(), Timing.LONG_DECAY);
  }

  private void admitByTraffic(ReplicaGroup group) {
    polledGroups.admitByTraffic(group, this::statementsPerSecond).forEach(this::stopPolling);
    if (group.isPolledRegularly()) {
      for (Endpoint member : subsets.membersInUse(group)) {
        Span delay = scheduler.interval(member).times(context.random().nextDouble());
        member.polling().scheduleNoLaterThan(context.now().plus(delay));
        scheduler.update(member);
      }
    }
  }

  /** Reports to on-call how much of the list is polled regularly, where that has changed. */
  void report() {
    int listed = 0;
    for (Endpoint endpoint : table.endpoints()) {
      listed += endpoint != null && endpoint.lifecycle() != EndpointLifecycle.GONE ? 1 : 0;
    }
    String report = polledGroups.size() + " " + polledGroups.members() + " " + listed;
    if (!report.equals(reported)) {
      reported = report;
      context.sink().onPolledGroupsChanged(polledGroups.size(), polledGroups.members(), listed);
    }
  }
}
