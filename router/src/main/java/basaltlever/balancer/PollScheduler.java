package basaltlever.balancer;

import basaltlever.endpoints.PollSchedule;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.gateway.Workload;
import basaltlever.model.Endpoint;
import basaltlever.model.PollState;
import basaltlever.model.ReplicaGroup;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.function.Consumer;

/**
 * Decides when each endpoint is polled: often enough to prove replicas fresh within the tightest
 * staleness bound, but no more often than this router sends it statements. A report that no
 * statement uses helps no client, and the polls of many routers take CPU from statements.
 */
final class PollScheduler {
  static final Span MIN_INTERVAL = Span.ofMillis(100);
  static final Span MAX_INTERVAL = Span.ofMillis(30_000);

  /** Interval between polls while the primary is unknown or a switchover is in progress. */
  static final Span HOLD_INTERVAL = Span.ofMillis(200);

  /** Where replicas check the freshness of reads, polls only guide the choice of a replica. */
  private static final double CHECKED_INTERVAL_SHARE = 0.5;

  /** Where they do not, a bounded read needs a report from within its bound. */
  private static final double PROVEN_INTERVAL_SHARE = 0.25;

  private static final double MIN_POLLS_PER_SECOND = 1e-3;
  private static final int MAX_BACKOFF_DOUBLINGS = 7;

  /**
   * Intervals are drawn uniformly from this share of the nominal interval to this share plus {@link
   * #JITTER_RANGE}.
   */
  private static final double MIN_JITTER = 0.75;

  private static final double JITTER_RANGE = 0.5;

  private final DecisionContext context;
  private final GroupSubsets subsets;
  private final PollSchedule schedule =
      new PollSchedule(Timing.ONE_SECOND.plus(Timing.SCAN_INTERVAL));
  private Span freshnessInterval;

  PollScheduler(DecisionContext context, GroupSubsets subsets) {
    this.context = context;
    this.subsets = subsets;
    applySettings();
  }

  /** Derives the interval from the staleness bounds of all workloads. */
  void applySettings() {
    Span shortest = Timing.ONE_SECOND;
    for (Workload workload : context.settings().workloads()) {
      if (workload.consistency().isBounded()) {
        shortest = shortest.shorter(workload.maxStaleness().times(intervalShare(workload)));
      }
    }
    freshnessInterval = shortest.longer(MIN_INTERVAL);
  }

  /** The interval between polls as a share of the staleness bound that they are to prove. */
  private double intervalShare(Workload workload) {
    boolean checked =
        context.settings().replication().replicasCheckFreshness() && workload.checkedByReplicas();
    return checked ? CHECKED_INTERVAL_SHARE : PROVEN_INTERVAL_SHARE;
  }

  /** Returns when the next poll is due or times out. */
  Moment nextDueAt() {
    return schedule.nextWakeAt();
  }

  /** Schedules a poll of the endpoint as soon as the minimum interval allows. */
  void pollNow(Endpoint endpoint) {
    pollWithin(endpoint, MIN_INTERVAL);
  }

  /**
   * Schedules a poll of the endpoint as soon as the given time has passed since its latest poll.
   */
  void pollWithin(Endpoint endpoint, Span sinceLatestPoll) {
    PollState polling = endpoint.polling();
    polling.scheduleNoLaterThan(polling.sentAt().plus(sinceLatestPoll).later(context.now()));
    schedule.update(endpoint);
  }

  /** Sets the time of the next poll; {@code Moment.NEVER} cancels it. */
  void scheduleAt(Endpoint endpoint, Moment at) {
    endpoint.polling().scheduleAt(at);
    schedule.update(endpoint);
  }

  /** Updates the schedule; must be called after the endpoint's poll state was changed elsewhere. */
  void update(Endpoint endpoint) {
    schedule.update(endpoint);
  }

  void remove(Endpoint endpoint) {
    schedule.remove(endpoint);
  }

  /**
   * Sends the polls that are due, and passes endpoints whose poll has timed out to the callback.
   */
  void sendDuePolls(Consumer<Endpoint> onTimeout) {
    for (Endpoint endpoint : schedule.removeDue(context.now())) {
      if (!canBePolled(endpoint)) {
        endpoint.polling().recordPollEnd();
        endpoint.polling().scheduleAt(Moment.NEVER);
        continue;
      }
      sendIfDue(endpoint, onTimeout);
    }
  }

  private boolean canBePolled(Endpoint endpoint) {
    boolean removed =
        endpoint.lifecycle() == EndpointLifecycle.GONE && !context.isListedForUse(endpoint);
    return !removed && context.settings().attemptLimits().pollingEnabled();
  }

  private void sendIfDue(Endpoint endpoint, Consumer<Endpoint> onTimeout) {
    PollState polling = endpoint.polling();
    if (polling.isInFlight()
        && context.now().since(polling.sentAt()).isLongerThan(Timing.ONE_SECOND)) {
      polling.recordPollEnd();
      onTimeout.accept(endpoint);
    }
    if (!polling.isInFlight() && !context.now().isBefore(polling.nextPollAt())) {
      send(endpoint);
    } else {
      schedule.update(endpoint);
    }
  }

  /** Polls an endpoint immediately. */
  void send(Endpoint endpoint) {
    endpoint.polling().recordPollSent(context.now());
    endpoint
        .polling()
        .scheduleAt(
            isPolledRegularly(endpoint)
                ? context.now().plus(interval(endpoint).times(jitter()))
                : Moment.NEVER);
    schedule.update(endpoint);
    context.sink().poll(endpoint.id());
  }

  private double jitter() {
    return MIN_JITTER + JITTER_RANGE * context.random().nextDouble();
  }

  /**
   * Whether the endpoint is polled regularly; in a large group only the primary and the endpoints
   * in use are.
   */
  boolean isPolledRegularly(Endpoint endpoint) {
    ReplicaGroup group = endpoint.group();
    return group.isPolledRegularly()
        && (!GroupSubsets.isLarge(group)
            || endpoint == group.primary()
            || subsets.endpointsInUse(group).contains(endpoint));
  }

  /** The nominal time between two polls of an endpoint. */
  Span interval(Endpoint endpoint) {
    ReplicaGroup group = endpoint.group();
    double pollsPerSecond =
        pollsPerSecond(group, group.statementRate().valueAt(context.now(), Timing.LONG_DECAY));
    return Span.ofMillis(1_000 / Math.max(MIN_POLLS_PER_SECOND, pollsPerSecond))
        .longer(freshnessInterval)
        .shorter(MAX_INTERVAL);
  }

  /** One poll for each statement, spread over the endpoints in use. */
  private double pollsPerSecond(ReplicaGroup group, double statementsPerSecond) {
    return statementsPerSecond / Math.max(1, subsets.endpointsInUse(group).size());
  }

  /**
   * The delay before the next poll of an endpoint that missed polls; it doubles with each one
   * missed.
   */
  Span backoff(Endpoint endpoint) {
    int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, endpoint.polling().missedPolls());
    return HOLD_INTERVAL.times(1 << doublings).shorter(interval(endpoint));
  }

  /** Whether the group's traffic uses the reports of polls at the maximum interval. */
  boolean isPollingUseful(ReplicaGroup group, double statementsPerSecond) {
    return pollsPerSecond(group, statementsPerSecond) * MAX_INTERVAL.ratioTo(Timing.ONE_SECOND)
        >= 1;
  }
}
