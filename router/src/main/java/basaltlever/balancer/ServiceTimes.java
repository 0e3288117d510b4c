package basaltlever.balancer;

import basaltlever.gateway.Workload;
import basaltlever.time.Span;
import java.util.Arrays;

/** Estimates how long statements of each workload typically take, in microseconds. */
final class ServiceTimes {
  /**
   * Before the first answer, a statement is estimated to take its latency objective divided by
   * this.
   */
  private static final double INITIAL_OBJECTIVE_DIVISOR = 4.0;

  private double[] typicalMicros = {};
  private double overallMicros;

  ServiceTimes(Workload[] workloads) {
    applySettings(workloads);
    overallMicros = Arrays.stream(typicalMicros).average().orElse(0);
  }

  /** Existing workloads keep their indices and estimates; new ones are appended. */
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

  /** The typical time over all workloads, weighted by how often each occurs. */
  double overallMicros() {
    return overallMicros;
  }

  void recordCompletion(int workloadIndex, Span duration) {
    typicalMicros[workloadIndex] +=
        Timing.LEARNING_RATE / 4 * (duration.micros() - typicalMicros[workloadIndex]);
    overallMicros += Timing.LEARNING_RATE / 4 * (duration.micros() - overallMicros);
  }
}
