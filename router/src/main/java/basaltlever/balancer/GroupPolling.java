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

/**
 * Chooses the groups that are polled regularly: all groups of a short list, or those with the most
 * traffic of a long one.
 */
final class GroupPolling {
  /**
   * A group has regular traffic if a second statement arrives before the first has decayed from the
   * rate estimate.
   */
  private static final double REGULAR_STATEMENTS_PER_SECOND =
      1.5 / Timing.LONG_DECAY.ratioTo(Timing.ONE_SECOND);

  private final DecisionContext context;
  private final EndpointTable table;
  private final GroupSubsets subsets;
  private final PollScheduler scheduler;
  private final PolledGroups polledGroups = new PolledGroups();

  /**
   * Endpoints whose listing or rules have changed; they are polled if their group is polled
   * regularly.
   */
  private final List<Endpoint> relisted = new ArrayList<>();

  private boolean initialPollsSent;
  private String lastReport = "";

  GroupPolling(
      DecisionContext context, EndpointTable table, GroupSubsets subsets, PollScheduler scheduler) {
    this.context = context;
    this.table = table;
    this.subsets = subsets;
    this.scheduler = scheduler;
  }

  void onEndpointRelisted(Endpoint endpoint) {
    relisted.add(endpoint);
  }

  /** Updates the regularly polled groups after a list was applied. */
  void chooseGroups() {
    polledGroups.recount().forEach(this::stopPolling);
    if (relisted.isEmpty() || polledGroups.admitAll(table.groups())) {
      return;
    }
    if (!initialPollsSent) {
      sendInitialPolls();
    }
  }

  /** Polls the endpoints whose listing has changed. */
  void pollRelisted() {
    for (Endpoint endpoint : relisted) {
      if (scheduler.isPolledRegularly(endpoint)) {
        scheduler.pollNow(endpoint);
      }
    }
    relisted.clear();
  }

  /**
   * Polls a part of a long list once, so that the roles of some endpoints are known and connections
   * to them are open before the first statements. Each router starts at a different position, so
   * that routers starting together spread their polls.
   */
  private void sendInitialPolls() {
    initialPollsSent = true;
    List<ReplicaGroup> groups =
        new ArrayList<>(new LinkedHashSet<>(relisted.stream().map(Endpoint::group).toList()));
    Collections.rotate(groups, -subsets.startPosition(groups.size()));
    int polled = 0;
    for (ReplicaGroup group : groups) {
      for (Endpoint endpoint : subsets.endpointsInUse(group)) {
        if (polled++ < PolledGroups.MAX_INITIAL_POLLS) {
          scheduler.pollNow(endpoint);
        }
      }
    }
  }

  private void stopPolling(ReplicaGroup group) {
    for (Endpoint endpoint : subsets.endpointsInUse(group)) {
      if (!endpoint.polling().isInFlight()) {
        scheduler.scheduleAt(endpoint, Moment.NEVER);
      }
    }
  }

  /** Records a statement for the group; its traffic may now be sufficient for regular polls. */
  void onStatementArrived(ReplicaGroup group) {
    group
        .statementRate()
        .add(context.now(), Timing.LONG_DECAY, 1 / Timing.LONG_DECAY.ratioTo(Timing.ONE_SECOND));
    if (!group.isPolledRegularly() && hasRegularTraffic(group)) {
      admitByTraffic(group);
    }
  }

  private boolean hasRegularTraffic(ReplicaGroup group) {
    double perSecond = statementsPerSecond(group);
    // The lookup of the endpoints in use may reselect them, so it must not depend on the rate.
    boolean useful = scheduler.isPollingUseful(group, perSecond);
    return perSecond > REGULAR_STATEMENTS_PER_SECOND && useful;
  }

  private double statementsPerSecond(ReplicaGroup group) {
    return group.statementRate().valueAt(context.now(), Timing.LONG_DECAY);
  }

  private void admitByTraffic(ReplicaGroup group) {
    polledGroups.admitByTraffic(group, this::statementsPerSecond).forEach(this::stopPolling);
    if (group.isPolledRegularly()) {
      for (Endpoint endpoint : subsets.endpointsInUse(group)) {
        Span delay = scheduler.interval(endpoint).times(context.random().nextDouble());
        endpoint.polling().scheduleNoLaterThan(context.now().plus(delay));
        scheduler.update(endpoint);
      }
    }
  }

  /** Reports how much of the list is polled regularly if that has changed, for operators. */
  void reportIfChanged() {
    int listed = 0;
    for (Endpoint endpoint : table.endpoints()) {
      listed += endpoint != null && endpoint.lifecycle() != EndpointLifecycle.GONE ? 1 : 0;
    }
    String report = polledGroups.groupCount() + " " + polledGroups.endpointCount() + " " + listed;
    if (!report.equals(lastReport)) {
      lastReport = report;
      context
          .sink()
          .onPolledGroupsChanged(polledGroups.groupCount(), polledGroups.endpointCount(), listed);
    }
  }
}
