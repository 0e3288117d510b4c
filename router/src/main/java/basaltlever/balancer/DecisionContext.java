package basaltlever.balancer;

import basaltlever.gateway.DecisionSink;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.gateway.Settings;
import basaltlever.gateway.Workload;
import basaltlever.model.Endpoint;
import basaltlever.time.Moment;
import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * State shared by all decisions of one router: the clock of the batch, settings, randomness and
 * output.
 */
final class DecisionContext {
  private static final double MAX_EVENT_WEIGHT = 0.5;
  private static final double EVENT_WEIGHT_TIME_CONSTANT_MICROS = 2e6;

  private final DecisionSink sink;
  private final SplittableRandom random;
  private Moment now;
  private Settings settings;
  private double highestPriorityWeight;
  private double highestReplicaPriorityWeight;

  DecisionContext(DecisionSink sink, SplittableRandom random, Settings settings, Moment now) {
    this.sink = sink;
    this.random = random;
    applySettings(now, settings);
  }

  /** Sets the time used by all decisions until the next input. */
  void advanceTo(Moment at) {
    now = at;
  }

  void applySettings(Moment at, Settings newSettings) {
    now = at;
    settings = newSettings;
    highestPriorityWeight =
        Arrays.stream(newSettings.workloads())
            .mapToDouble(Workload::priorityWeight)
            .max()
            .orElse(1);
    highestReplicaPriorityWeight =
        Arrays.stream(newSettings.workloads())
            .filter(workload -> !workload.requiresPrimary())
            .mapToDouble(Workload::priorityWeight)
            .max()
            .orElse(1);
  }

  Moment now() {
    return now;
  }

  Settings settings() {
    return settings;
  }

  DecisionSink sink() {
    return sink;
  }

  /** The source of all randomness. The order of draws must depend on the inputs alone. */
  SplittableRandom random() {
    return random;
  }

  /**
   * Returns the weight of one event in an estimate, given its last update. The rarer the events,
   * the more each counts; otherwise a router with little traffic would adapt too late.
   */
  double eventWeight(Moment lastUpdate) {
    return Math.min(
        MAX_EVENT_WEIGHT,
        Math.max(
            Timing.LEARNING_RATE,
            1 - Math.exp(-now.since(lastUpdate).micros() / EVENT_WEIGHT_TIME_CONSTANT_MICROS)));
  }

  /** The highest priority weight of the workloads that a primary or a replica executes. */
  double highestPriority(boolean isPrimary) {
    return isPrimary ? highestPriorityWeight : highestReplicaPriorityWeight;
  }

  /** The priority weight of a workload as a share of the highest one. */
  double priorityShare(Workload workload) {
    return workload.priorityWeight() / highestPriorityWeight;
  }

  /**
   * Whether the lifecycle state of an endpoint allows new statements: never while it drains; once
   * it is no longer listed, this depends on the settings.
   */
  boolean isListedForUse(Endpoint endpoint) {
    return endpoint.lifecycle() == EndpointLifecycle.READY
        || (endpoint.lifecycle() == EndpointLifecycle.GONE
            && !settings.drainPolicy().excludesRemovedEndpoints()
            && !endpoint.wasDraining());
  }
}
