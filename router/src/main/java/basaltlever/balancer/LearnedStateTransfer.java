package basaltlever.balancer;

import basaltlever.gateway.EndpointLifecycle;
import basaltlever.model.Endpoint;
import basaltlever.model.HealthState;
import basaltlever.model.LoadState;
import basaltlever.model.ReplicaGroup;
import basaltlever.snapshot.EndpointState;
import basaltlever.snapshot.GroupState;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.Comparator;
import java.util.List;

/**
 * What was learned of endpoints and groups, as records that outlive this process, and what such
 * records of an earlier process do to fresh endpoints.
 */
public final class LearnedStateTransfer {
  private final DecisionContext context;
  private final EndpointTable table;
  private final EndpointHealth health;
  private final ReplicaFreshness freshness;
  private final SlowStart slowStart;
  private final PollScheduler polls;
  private final EndpointListing listing;

  LearnedStateTransfer(EndpointModules endpoints, EndpointListing listing) {
    context = endpoints.context;
    table = endpoints.table;
    health = endpoints.health;
    freshness = endpoints.freshness;
    slowStart = endpoints.slowStart;
    polls = endpoints.polls;
    this.listing = listing;
  }

  /** What has been learned of an endpoint by now, without its identity. */
  public EndpointState learned(Moment at, int id) {
    context.advanceTo(at);
    Endpoint endpoint = table.endpoint(id);
    ReplicaGroup group = endpoint.group();
    HealthState faults = endpoint.health();
    Moment notPrimaryAt = endpoint.roles().lastNotPrimaryReportAt();
    boolean warmingUp = slowStart.isWarmingUp(endpoint);
    return new EndpointState(
        group.number(),
        Math.max(0, endpoint.listedStart().micros()),
        !context.isListedForUse(endpoint),
        group.primary() == endpoint,
        ago(endpoint.warmUp().startedAt()),
        ago(group.lostPrimary() == endpoint ? notPrimaryAt.later(group.holdSince()) : notPrimaryAt),
        faults.isUnresponsive(),
        faults.isDown() ? ago(faults.downSince()) : EndpointState.NEVER,
        Math.min(1, health.failureRate(endpoint)),
        endpoint.load().excessLatencyRatio().valueAt(at, Timing.SHORT_DECAY),
        endpoint.load().capacity(),
        faults.consecutiveQueueFullResponses(),
        faults.backoffUntil().since(at).longer(Span.NONE),
        freshness.estimatedLag(endpoint),
        slowStart.chargedStatements(endpoint),
        warmingUp ? ago(endpoint.warmUp().chargedAt()) : EndpointState.NEVER);
  }

  /** Attempts in flight at an endpoint. */
  public int attemptsInFlight(int id) {
    return table.endpoint(id).load().inFlight();
  }

  /** What has been learned of all groups by now. */
  public List<GroupState> learnedOfGroups(Moment at) {
    context.advanceTo(at);
    return table.groups().stream()
        .sorted(Comparator.comparingInt(ReplicaGroup::number))
        .map(
            group ->
                new GroupState(
                    group.number(),
                    group.replicaCongestion().valueAt(at, Timing.LONG_DECAY),
                    group.primaryCongestion().valueAt(at, Timing.LONG_DECAY)))
        .toList();
  }

  /**
   * Takes in what another process learned of an endpoint that was listed just now, aged by the
   * caller. It only ever makes for more caution: no position, role or warmth is believed, and of
   * each limit the tighter one holds.
   */
  public void restore(Moment at, int id, EndpointState state) {
    context.advanceTo(at);
    Endpoint endpoint = table.endpoint(id);
    endpoint
        .roles()
        .recordNotPrimary(then(state.sinceNotPrimary()).earlier(at.plus(Timing.ONE_SECOND)));
    restoreLoad(endpoint, state);
    freshness.observeLag(endpoint, freshness.estimatedLag(endpoint).longer(state.lag()));
    restoreFaults(endpoint, state);
    restoreWarmUp(endpoint, state);
    if (state.draining() && endpoint.lifecycle() != EndpointLifecycle.GONE) {
      endpoint.setWasDraining(true);
      listing.setLifecycle(endpoint, EndpointLifecycle.DRAINING);
    }
    if (state.primary()
        && context.settings().attemptLimits().pollingEnabled()
        && !endpoint.polling().isInFlight()) {
      // Polled before all others, in whatever order the list names them.
      polls.send(endpoint);
    }
  }

  private void restoreLoad(Endpoint endpoint, EndpointState state) {
    Moment now = context.now();
    LoadState load = endpoint.load();
    HealthState faults = endpoint.health();
    faults.failureRate().set(now, Math.max(health.failureRate(endpoint), state.failureRate()));
    load.excessLatencyRatio()
        .set(
            now,
            Math.max(
                load.excessLatencyRatio().valueAt(now, Timing.SHORT_DECAY), state.latencyStrain()));
    load.setCapacity(
        Math.max(
            EndpointHealth.MIN_CAPACITY_ATTEMPTS, Math.min(load.capacity(), state.capacity())));
    faults.restoreQueueFullResponses(state.consecutiveRejections());
    faults.setBackoffUntil(
        faults.backoffUntil().later(now.plus(state.remainingBackoff().shorter(Timing.ONE_SECOND))));
  }

  private void restoreFaults(Endpoint endpoint, EndpointState state) {
    if (state.unresponsive() && !endpoint.health().isUnresponsive()) {
      health.markSilent(endpoint);
    }
    if (state.isDown() && !endpoint.health().isDown()) {
      health.markDown(endpoint);
      endpoint.health().restoreDownSince(then(state.downFor()));
    }
  }

  /** What the earlier process sent counts as this one's: a restart brings no fresh budget. */
  private void restoreWarmUp(Endpoint endpoint, EndpointState state) {
    slowStart.recordStart(endpoint, then(state.sinceStart()));
    if (slowStart.isWarmingUp(endpoint)) {
      Moment chargedAt =
          then(state.sinceSlowStartSpent()).later(Moment.LONG_AGO).earlier(context.now());
      slowStart.restoreCharge(endpoint, state.slowStartSpent(), chargedAt);
    }
  }

  /** Takes in what another process learned of a group. */
  public void restore(Moment at, GroupState state) {
    context.advanceTo(at);
    ReplicaGroup group = table.knownGroup(state.group());
    if (group != null) {
      group
          .replicaCongestion()
          .set(
              at,
              Math.max(
                  group.replicaCongestion().valueAt(at, Timing.LONG_DECAY), state.congestion()));
      group
          .primaryCongestion()
          .set(
              at,
              Math.max(
                  group.primaryCongestion().valueAt(at, Timing.LONG_DECAY),
                  state.primaryCongestion()));
    }
  }

  private Span ago(Moment then) {
    return then.isAfter(Moment.LONG_AGO) ? context.now().since(then) : EndpointState.NEVER;
  }

  private Moment then(Span ago) {
    return ago.isShorterThan(EndpointState.NEVER) ? context.now().minus(ago) : Moment.LONG_AGO;
  }
}
