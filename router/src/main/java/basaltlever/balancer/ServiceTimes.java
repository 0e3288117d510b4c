package basaltlever.balancer;

import basaltlever.gateway.Workload;
import basaltlever.time.Span;
import java.util.Arrays;

/** How long statements of each workload typically take, in microseconds. */
final class ServiceTimes {
  /** Before any answer a statement is taken to need its latency objective divided by this. */
  private static final double INITIAL_OBJECTIVE_DIVISOR = 4.0;

  private double[] typicalMicros = {};
  private double overallMicros;

  ServiceTimes(Workload[] workloads) {
    applySettings(workloads);
    overallMicros = Arrays.stream(typicalMicros).average().orElse(0);
  }

  /** Workloads keep their places and estimates; new ones come behind them. */
  void applySettings(Workload[] workloads) {
    double[] next = new double[workloads.length];
    for (int index = 0; index < next.length; index++) {
      next[index] =
          index < typicalMicros.length
              ? typicalMicros[index]
              : workloads[index].latencyObjective().micros() / INITIAL_OBJECTIVE_DIVISOR;
    }
    typicalMicros = next;
  }

  int workloadCount() {
    return typicalMicros.length;
  }

  double typicalMicros(int workloadIndex) {
    return typicalMicros[workloadIndex];
  }

  /** Over all workloads, as often as each occurs. */
  double overallMicros() {
    return overallMicros;
  }

  void recordCompletion(int workloadIndex, Span duration) {
    typicalMicros[workloadIndex] +=
        Timing.LEARNING_RATE / 4 * (duration.micros() - typicalMicros[workloadIndex]);
    overallMicros += Timing.LEARNING_RATE / 4 * (duration.micros() - overallMicros);
  }
}
