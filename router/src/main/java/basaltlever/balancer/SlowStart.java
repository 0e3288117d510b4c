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
 * one, so each charges what it sends against a budget that refills at a share of what warm
 * endpoints answer.
 */
final class SlowStart {
  /** Share of the load that would overload a warming endpoint which is used at most. */
  private static final double SAFETY_FACTOR = 0.75;

  /** Share of the budget that may be spent at once; the rest refills evenly. */
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

  /** The share of its full strength that an endpoint has; 1 once it is warm. */
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
   * The endpoint has started. One attempt of each router at once would overload it, so each waits
   * for a random part of its share.
   */
  void recordStart(Endpoint endpoint, Moment at) {
    if (at.isAfter(endpoint.warmUp().startedAt())) {
      double initialCharge = context.random().nextDouble() * serviceTimes.overallMicros();
      endpoint.warmUp().recordStart(at, context.now(), initialCharge);
    }
  }

  /** What is sent is charged while the endpoint warms up. */
  void chargeAttempt(Endpoint endpoint, Statement statement) {
    if (isWarmingUp(endpoint)) {
      double work = serviceTimes.typicalMicros(statement.workloadIndex());
      endpoint.warmUp().charge(context.now(), remainingCharge(endpoint) + work);
    }
  }

  /** Takes over the charge of an earlier process, as of that moment. */
  void restoreCharge(Endpoint endpoint, double chargedStatements, Moment chargedAt) {
    // Refilled at the minimal rate only: what warm endpoints answer is not known yet.
    double refilled =
        allowedWorkPerSecond(endpoint)
            * (1 - BURST_SHARE)
            * context.now().since(chargedAt).over(Timing.ONE_SECOND);
    double total =
        Math.max(
            remainingCharge(endpoint), chargedStatements * serviceTimes.overallMicros() - refilled);
    endpoint.warmUp().restore(context.now(), total, chargedStatements <= 0);
  }

  /** Whether the endpoint is warm, or its budget allows a statement of that workload. */
  boolean allows(Endpoint endpoint, Statement statement) {
    return warmUpShare(endpoint) >= 1
        || hasBudget(endpoint, serviceTimes.typicalMicros(statement.workloadIndex()))
        || isAdmittedAsFirst(endpoint, statement);
  }

  private boolean hasBudget(Endpoint endpoint, double workMicros) {
    double burst =
        allowedWorkPerSecond(endpoint)
            * BURST_SHARE
            * context.settings().slowStart().overloadTime().over(Timing.ONE_SECOND);
    return remainingCharge(endpoint) <= 0 || remainingCharge(endpoint) + workMicros <= burst;
  }

  /**
   * Whether a statement that has just arrived may go where this router has sent nothing since the
   * start. Routers with little traffic would otherwise wait for longer than the warm-up takes
   * before their budgets allow one statement. Arrivals are spread over time by themselves; thinned
   * out, their sum stays within the budget. Statements that have waited are not: all routers may
   * hold some and would send them at once.
   */
  private boolean isAdmittedAsFirst(Endpoint endpoint, Statement statement) {
    if (!endpoint.warmUp().isUnusedSinceStart()
        || statement.attempts() > 0
        || !statement.receivedAt().equals(context.now())) {
      return false;
    }
    double share =
        statement.workload().requiresPrimary()
            ? SAFETY_FACTOR
                * context.settings().slowStart().overloadFactor()
                * warmUpShare(endpoint)
            : warmUpShare(endpoint);
    return context.random().nextDouble() < share;
  }

  private double remainingCharge(Endpoint endpoint) {
    WarmUpState warmUp = endpoint.warmUp();
    double refilled =
        allowedWorkPerSecond(endpoint)
            * (1 - BURST_SHARE)
            * context.now().since(warmUp.chargedAt()).over(Timing.ONE_SECOND);
    return Math.max(0, warmUp.chargedMicros() - refilled);
  }

  /**
   * Work a second that this router may send to a warming endpoint. What warm members of its group
   * answer for this router is this router's share of what an endpoint can do; where none is warm,
   * the warm endpoints of other groups are the measure.
   */
  private double allowedWorkPerSecond(Endpoint endpoint) {
    double perSize = warmWorkPerSize(subsets.membersInUse(endpoint.group()));
    double answered =
        (perSize > 0
                ? perSize
                : warmCapacity.perSize(
                    table.endpoints(), this::isWarm, this::answeredWorkPerSecond))
            * endpoint.relativeSize();
    return Math.max(
        SAFETY_FACTOR
            * context.settings().slowStart().overloadFactor()
            * warmUpShare(endpoint)
            * answered,
        serviceTimes.overallMicros()
            / context.settings().slowStart().overloadTime().over(Timing.ONE_SECOND)
            / context.settings().identity().routerCount());
  }

  private double warmWorkPerSize(Collection<Endpoint> members) {
    double work = 0;
    double size = 0;
    for (Endpoint member : members) {
      if (isWarm(member)) {
        work += answeredWorkPerSecond(member);
        size += member.relativeSize();
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
        / window.over(Timing.ONE_SECOND);
  }

  /** What is charged at an endpoint that warms up, in typical statements; 0 at a warm one. */
  double chargedStatements(Endpoint endpoint) {
    return isWarmingUp(endpoint)
        ? endpoint.warmUp().chargedMicros() / serviceTimes.overallMicros()
        : 0;
  }
}
