package basaltlever.balancer;

import basaltlever.gateway.EndpointLifecycle;
import basaltlever.model.Endpoint;
import basaltlever.model.HealthState;
import basaltlever.model.LoadState;
import basaltlever.model.ReplicaGroup;
import basaltlever.snapshot.EndpointState;
import basaltlever.time.Moment;
import basaltlever.time.Span;

/**
 * Exports the learned state of endpoints and groups as records that outlive this process, and
 * restores such records of an earlier process.
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

  /** Returns the learned state of an endpoint, without its identity. */
  public EndpointState endpointState(Moment at, int id) {
    context.advanceTo(at);
    Endpoint endpoint = table.endpoint(id);
    ReplicaGroup group = endpoint.group();
    HealthState healthState = endpoint.health();
    Moment notPrimaryAt = endpoint.roles().lastNotPrimaryReportAt();
    boolean warmingUp = slowStart.isWarmingUp(endpoint);
    return new EndpointState(
        group.number(),
        Math.max(0, endpoint.listedStart().micros()),
        !context.isListedForUse(endpoint),
        group.primary() == endpoint,
        timeSince(endpoint.warmUp().startedAt()),
        timeSince(
            group.lostPrimary() == endpoint ? notPrimaryAt.later(group.holdSince()) : notPrimaryAt),
        healthState.isUnresponsive(),
        healthState.isDown() ? timeSince(healthState.downSince()) : EndpointState.NEVER,
        Math.min(1, health.failureRate(endpoint)),
        endpoint.load().excessSlowdown().valueAt(at, Timing.SHORT_DECAY),
        endpoint.load().capacity(),
        healthState.consecutiveQueueFullResponses(),
        healthState.backoffUntil().since(at).longer(Span.NONE),
        freshness.estimatedLag(endpoint),
        slowStart.chargedStatements(endpoint),
        warmingUp ? timeSince(endpoint.warmUp().chargedAt()) : EndpointState.NEVER);
  }

  /** Returns the number of attempts in flight at an endpoint. */
  public int attemptsInFlight(int id) {
    return table.endpoint(id).load().inFlight();
  }

  /**
   * Restores the state of a newly listed endpoint from another process; the caller has adjusted it
   * for its age. Restored state can only increase caution: positions, the primary role and
   * completed warm-ups are not restored, and of two limits the tighter one applies.
   */
  public void restore(Moment at, int id, EndpointState state) {
    context.advanceTo(at);
    Endpoint endpoint = table.endpoint(id);
    endpoint
        .roles()
        .recordNotPrimary(timeBefore(state.sinceNotPrimary()).earlier(at.plus(Timing.ONE_SECOND)));
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
      // The last known primary is polled before all other endpoints, whatever the order of the
      // list.
      polls.send(endpoint);
    }
  }

  private void restoreLoad(Endpoint endpoint, EndpointState state) {
    Moment now = context.now();
    LoadState load = endpoint.load();
    HealthState healthState = endpoint.health();
    healthState.failureRate().set(now, Math.max(health.failureRate(endpoint), state.failureRate()));
    load.excessSlowdown()
        .set(
            now,
            Math.max(
                load.excessSlowdown().valueAt(now, Timing.SHORT_DECAY), state.latencyStrain()));
    load.setCapacity(
        Math.max(
            EndpointHealth.MIN_CAPACITY_ATTEMPTS, Math.min(load.capacity(), state.capacity())));
    healthState.restoreQueueFullResponses(state.consecutiveRejections());
    healthState.setBackoffUntil(
        healthState
            .backoffUntil()
            .later(now.plus(state.remainingBackoff().shorter(Timing.ONE_SECOND))));
  }

  private void restoreFaults(Endpoint endpoint, EndpointState state) {
    if (state.unresponsive() && !endpoint.health().isUnresponsive()) {
      health.markSilent(endpoint);
    }
    if (state.isDown() && !endpoint.health().isDown()) {
      health.markDown(endpoint);
      endpoint.health().restoreDownSince(timeBefore(state.downFor()));
    }
  }

  /**
   * Attempts of the earlier process count against this one's budget: a restart must not reset the
   * budget.
   */
  private void restoreWarmUp(Endpoint endpoint, EndpointState state) {
    slowStart.recordStart(endpoint, timeBefore(state.sinceStart()));
    if (slowStart.isWarmingUp(endpoint)) {
      Moment chargedAt =
          timeBefore(state.sinceSlowStartSpent()).later(Moment.LONG_AGO).earlier(context.now());
      slowStart.restoreCharge(endpoint, state.slowStartSpent(), chargedAt);
    }
  }

  private Span timeSince(Moment moment) {
    return moment.isAfter(Moment.LONG_AGO) ? context.now().since(moment) : EndpointState.NEVER;
  }

  private Moment timeBefore(Span ago) {
    return ago.isShorterThan(EndpointState.NEVER) ? context.now().minus(ago) : Moment.LONG_AGO;
  }
}
