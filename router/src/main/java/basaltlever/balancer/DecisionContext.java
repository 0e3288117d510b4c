package basaltlever.balancer;

import basaltlever.gateway.DecisionSink;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.gateway.Settings;
import basaltlever.gateway.Workload;
import basaltlever.model.Endpoint;
import basaltlever.time.Moment;
import java.util.Arrays;
import java.util.SplittableRandom;

/** What all decisions of one router share: the clock of the batch, settings, chance and outputs. */
final class DecisionContext {
  private static final double MAX_EVENT_WEIGHT = 0.5;
  private static final double EVENT_WEIGHT_MICROS = 2e6;

  private final DecisionSink sink;
  private final SplittableRandom random;
  private final ScanDelay scanDelay = new ScanDelay();
  private Moment now;
  private Settings settings;
  private double highestPriorityWeight;

  DecisionContext(DecisionSink sink, SplittableRandom random, Settings settings, Moment now) {
    this.sink = sink;
    this.random = random;
    applySettings(now, settings);
  }

  /** Sets the clock, to which all decisions until the next input refer. */
  void advanceTo(Moment at) {
    now = at;
  }

  void applySettings(Moment at, Settings next) {
    now = at;
    settings = next;
    highestPriorityWeight =
        Arrays.stream(next.workloads()).mapToDouble(Workload::priorityWeight).max().orElse(1);
  }

  Moment now() {
    return now;
  }

  Settings settings() {
    return settings;
  }

  /** How long this router has not looked at its statements though it was due. */
  ScanDelay scanDelay() {
    return scanDelay;
  }

  DecisionSink sink() {
    return sink;
  }

  /** The source of all randomness. The order of draws must not depend on anything but inputs. */
  SplittableRandom random() {
    return random;
  }

  /**
   * The weight of one event in an estimate that was last updated then. The rarer the events, the
   * more each counts, or a router with little traffic would learn too late.
   */
  double eventWeight(Moment lastUpdate) {
    return Math.min(
        MAX_EVENT_WEIGHT,
        Math.max(
            Timing.LEARNING_RATE,
            1 - Math.exp(-now.since(lastUpdate).micros() / EVENT_WEIGHT_MICROS)));
  }

  /** The priority weight of a workload as a share of the highest one. */
  double priorityShare(Workload workload) {
    return workload.priorityWeight() / highestPriorityWeight;
  }

  /**
   * Whether new statements may go to an endpoint. One that is draining gets none; for one that is
   * no longer listed that depends on the settings.
   */
  boolean isListedForUse(Endpoint endpoint) {
    return endpoint.lifecycle() == EndpointLifecycle.READY
        || (endpoint.lifecycle() == EndpointLifecycle.GONE
            && !settings.drainPolicy().excludesRemovedEndpoints()
            && !endpoint.wasDraining());
  }
}
