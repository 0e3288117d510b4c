package basaltlever.balancer;

import basaltlever.endpoints.WarmCapacity;
import basaltlever.model.Endpoint;
import basaltlever.model.Statement;
import basaltlever.model.WarmUpState;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.Collection;

/**
 * Limits the work sent to endpoints that are warming up. All routers together must not overload
 * such an endpoint, so each router charges what it sends against a budget, which refills at a share
 * of the rate that warm endpoints answer.
 */
final class SlowStart {
  /**
   * Maximum load of an endpoint that is warming up, as a share of the load that would overload it.
   */
  private static final double SAFETY_FACTOR = 0.75;

  /** Share of the budget that may be spent in one burst; the rest refills evenly. */
  private static final double BURST_SHARE = 0.3;

  private final DecisionContext context;
  private final ServiceTimes serviceTimes;
  private final GroupSubsets subsets;
  private final EndpointTable table;
  private final WarmCapacity warmCapacity = new WarmCapacity();

  SlowStart(
      DecisionContext context,
      ServiceTimes serviceTimes,
      GroupSubsets subsets,
      EndpointTable table) {
    this.context = context;
    this.serviceTimes = serviceTimes;
    this.subsets = subsets;
    this.table = table;
  }

  /** Returns the share of its full capacity that the endpoint has; 1 once it is warm. */
  double warmUpShare(Endpoint endpoint) {
    return context
        .settings()
        .slowStart()
        .capacityShareAt(context.now().since(endpoint.warmUp().startedAt()));
  }

  boolean isWarmingUp(Endpoint endpoint) {
    return warmUpShare(endpoint) < 1;
  }

  /**
   * Records a start of the endpoint. Simultaneous first attempts of all routers would overload it,
   * so the budget of each begins with a random initial charge.
   */
  void recordStart(Endpoint endpoint, Moment at) {
    if (at.isAfter(endpoint.warmUp().startedAt())) {
      endpoint.warmUp().recordStart(at, context.now(), context.random().nextDouble());
    }
  }

  /** Charges an attempt against the budget while the endpoint is warming up. */
  void chargeAttempt(Endpoint endpoint, Statement statement) {
    if (isWarmingUp(endpoint)) {
      endpoint
          .warmUp()
          .charge(context.now(), remainingCharge(endpoint) + typicalStatements(statement));
    }
  }

  /** Restores the charge of an earlier process, as of the given time. */
  void restoreCharge(Endpoint endpoint, double chargedStatements, Moment chargedAt) {
    // The budget refills at the minimum rate, because the rate of warm endpoints is not yet known.
    double refilled =
        allowedPerSecond(endpoint)
            * (1 - BURST_SHARE)
            * context.now().since(chargedAt).ratioTo(Timing.ONE_SECOND);
    double total = Math.max(remainingCharge(endpoint), chargedStatements - refilled);
    endpoint.warmUp().restore(context.now(), total, chargedStatements <= 0);
  }

  /** The work of the statement, in typical statements; one if nothing is known of its work. */
  private double typicalStatements(Statement statement) {
    if (!serviceTimes.isKnown(statement.workloadIndex())) {
      return 1;
    }
    return serviceTimes.typicalMicros(statement.workloadIndex()) / serviceTimes.overallMicros();
  }

  /** Whether the endpoint is warm, or its budget allows the statement. */
  boolean allows(Endpoint endpoint, Statement statement) {
    return !isWarmingUp(endpoint) || hasBudget(endpoint, typicalStatements(statement));
  }

  private boolean hasBudget(Endpoint endpoint, double statements) {
    double burst =
        allowedPerSecond(endpoint)
            * BURST_SHARE
            * context.settings().slowStart().overloadTime().ratioTo(Timing.ONE_SECOND);
    return remainingCharge(endpoint) <= 0 || remainingCharge(endpoint) + statements <= burst;
  }

  private double remainingCharge(Endpoint endpoint) {
    WarmUpState warmUp = endpoint.warmUp();
    double refilled =
        allowedPerSecond(endpoint)
            * (1 - BURST_SHARE)
            * context.now().since(warmUp.chargedAt()).ratioTo(Timing.ONE_SECOND);
    return Math.max(0, warmUp.chargedStatements() - refilled);
  }

  /**
   * Returns how many typical statements per second this router may send to an endpoint that is
   * warming up. This router's share of an endpoint's capacity is what warm endpoints of the same
   * group answer for this router; if none is warm, warm endpoints of other groups are the
   * reference.
   */
  private double allowedPerSecond(Endpoint endpoint) {
    double share = sharePerSecond(endpoint) * endpoint.relativeSize();
    return Math.max(
        SAFETY_FACTOR
            * context.settings().slowStart().overloadFactor()
            * warmUpShare(endpoint)
            * share,
        1
            / context.settings().slowStart().guaranteedInterval().ratioTo(Timing.ONE_SECOND)
            / context.settings().identity().routerCount());
  }

  /**
   * A router with little traffic would get its first statement later than the warm-up takes if only
   * answers counted. Until then its share is also what clients send it for the group, spread over
   * the group's endpoints. Only the first: later ones may be a retry storm.
   */
  private double sharePerSecond(Endpoint endpoint) {
    return endpoint.warmUp().isUnusedSinceStart()
        ? Math.max(answeredPerSecond(endpoint), requestedPerSecond(endpoint))
        : answeredPerSecond(endpoint);
  }

  private double answeredPerSecond(Endpoint endpoint) {
    double warmPerSize = warmWorkPerSize(subsets.endpointsInUse(endpoint.group()));
    double micros =
        warmPerSize > 0
            ? warmPerSize
            : warmCapacity.workPerSize(
                table.endpoints(), this::isWarm, this::answeredWorkPerSecond);
    return micros / serviceTimes.overallMicros();
  }

  private double requestedPerSecond(Endpoint endpoint) {
    double size = 0;
    for (Endpoint inUse : subsets.endpointsInUse(endpoint.group())) {
      size += inUse.relativeSize();
    }
    double received = endpoint.group().statementRate().valueAt(context.now(), Timing.LONG_DECAY);
    return size == 0 ? 0 : received / size;
  }

  private double warmWorkPerSize(Collection<Endpoint> endpoints) {
    double work = 0;
    double size = 0;
    for (Endpoint endpoint : endpoints) {
      if (isWarm(endpoint)) {
        work += answeredWorkPerSecond(endpoint);
        size += endpoint.relativeSize();
      }
    }
    return size == 0 ? 0 : work / size;
  }

  private boolean isWarm(Endpoint endpoint) {
    return context.isListedForUse(endpoint)
        && !endpoint.health().isDown()
        && warmUpShare(endpoint) >= 1;
  }

  private double answeredWorkPerSecond(Endpoint endpoint) {
    Span window = Timing.SHORT_DECAY;
    return endpoint.load().completedWork().valueAt(context.now(), window)
        / window.ratioTo(Timing.ONE_SECOND);
  }

  /**
   * Returns the remaining charge of an endpoint that is warming up, in typical statements; 0 for a
   * warm one.
   */
  double chargedStatements(Endpoint endpoint) {
    return isWarmingUp(endpoint) ? endpoint.warmUp().chargedStatements() : 0;
  }
}
