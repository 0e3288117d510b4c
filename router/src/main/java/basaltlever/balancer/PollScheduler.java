package basaltlever.balancer;

import basaltlever.endpoints.PollSchedule;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.gateway.Workload;
import basaltlever.gateway.Workload.ReadConsistency;
import basaltlever.model.Endpoint;
import basaltlever.model.PollState;
import basaltlever.model.ReplicaGroup;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.function.Consumer;

/**
 * When each endpoint is polled: often enough to prove replicas fresh within the tightest staleness
 * bound, as far as the polls' price stays below a share of this router's own traffic.
 */
final class PollScheduler {
  static final Span MIN_INTERVAL = Span.ofMillis(100);
  static final Span MAX_INTERVAL = Span.ofMillis(30_000);

  /** Between polls while a primary is searched for or a switchover is under way. */
  static final Span HOLD_INTERVAL = Span.ofMillis(200);

  /** The price of all polls as a share of the worth of the statements sent. */
  private static final double PRICE_SHARE = 0.005;

  private static final double MIN_POLLS_PER_SECOND = 1e-3;
  private static final int MAX_BACKOFF_DOUBLINGS = 7;

  /** Intervals are drawn from this share of the nominal one to this share plus the spread. */
  private static final double JITTER_FROM = 0.75;

  private static final double JITTER_SPREAD = 0.5;

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

  /** Derives the interval from the tightest staleness bound of all workloads. */
  void applySettings() {
    Span tightestBound = Timing.ONE_SECOND.times(4);
    for (Workload workload : context.settings().workloads()) {
      if (workload.consistency() == ReadConsistency.BOUNDED) {
        tightestBound = tightestBound.shorter(workload.maxStaleness());
      }
    }
    freshnessInterval =
        tightestBound
            .times(context.settings().replication().replicasCheckFreshness() ? 0.5 : 0.25)
            .longer(MIN_INTERVAL)
            .shorter(Timing.ONE_SECOND);
  }

  /** When a poll is due or has timed out next. */
  Moment nextAt() {
    return schedule.next();
  }

  /** Polls an endpoint as soon as the minimal interval allows. */
  void pollNow(Endpoint endpoint) {
    pollWithin(endpoint, MIN_INTERVAL);
  }

  /** Polls an endpoint as soon as its latest poll is that long ago. */
  void pollWithin(Endpoint endpoint, Span sinceLatestPoll) {
    PollState polling = endpoint.polling();
    polling.scheduleNoLaterThan(polling.sentAt().plus(sinceLatestPoll).later(context.now()));
    schedule.update(endpoint);
  }

  /** Sets the next poll's time; never cancels it. */
  void scheduleAt(Endpoint endpoint, Moment at) {
    endpoint.polling().scheduleAt(at);
    schedule.update(endpoint);
  }

  /** To be called whenever the endpoint's poll state was changed elsewhere. */
  void update(Endpoint endpoint) {
    schedule.update(endpoint);
  }

  void remove(Endpoint endpoint) {
    schedule.remove(endpoint);
  }

  /** Sends the polls that are due, and hands over endpoints whose poll has timed out. */
  void sendDue(Consumer<Endpoint> onTimeout) {
    for (Endpoint endpoint : schedule.takeDue(context.now())) {
      if (!mayBePolled(endpoint)) {
        endpoint.polling().recordPollEnd();
        endpoint.polling().scheduleAt(Moment.NEVER);
        continue;
      }
      sendIfDue(endpoint, onTimeout);
    }
  }

  private boolean mayBePolled(Endpoint endpoint) {
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

  /** Polls an endpoint at once. */
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
    return JITTER_FROM + JITTER_SPREAD * context.random().nextDouble();
  }

  /** Whether it is polled all the time; of a large group only the members in use are. */
  boolean isPolledRegularly(Endpoint endpoint) {
    ReplicaGroup group = endpoint.group();
    return group.isPolledRegularly()
        && (!GroupSubsets.isLarge(group)
            || endpoint == group.primary()
            || subsets.membersInUse(group).contains(endpoint));
  }

  /** The nominal time between two polls of an endpoint. */
  Span interval(Endpoint endpoint) {
    if (context.settings().identity().pollCost() <= 0) {
      return freshnessInterval;
    }
    double statementsPerSecond =
        endpoint.group().statementRate().valueAt(context.now(), Timing.LONG_DECAY)
            / Math.max(1, subsets.membersInUse(endpoint.group()).size());
    double pollsPerSecond =
        PRICE_SHARE / context.settings().identity().pollCost() * statementsPerSecond;
    return Span.ofMillis(1_000 / Math.max(MIN_POLLS_PER_SECOND, pollsPerSecond))
        .longer(freshnessInterval)
        .shorter(MAX_INTERVAL);
  }

  /** The pause before the next poll of an endpoint that missed some: it doubles with each. */
  Span backoff(Endpoint endpoint) {
    int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, endpoint.polling().missedPolls());
    return HOLD_INTERVAL.times(1 << doublings).shorter(interval(endpoint));
  }

  /** Whether a group's statements come so often that they pay for polls at the longest interval. */
  boolean isPaidFor(ReplicaGroup group, double statementsPerSecond) {
    double price = context.settings().identity().pollCost();
    double pollsPerSecond =
        price <= 0
            ? statementsPerSecond
            : PRICE_SHARE
                / price
                * statementsPerSecond
                / Math.max(1, subsets.membersInUse(group).size());
    return pollsPerSecond * MAX_INTERVAL.over(Timing.ONE_SECOND) >= 1;
  }
}
