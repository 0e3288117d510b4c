package basaltlever.balancer;

import basaltlever.gateway.Workload;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.Arrays;

/**
 * Estimates from completed attempts how long endpoints take to execute statements of each workload.
 * Before the first answer nothing is known of the work; the only time that is stated is then the
 * latency objective, the time in which the deployment wants the answer.
 */
final class ServiceTimes {
  /** The estimates of one workload, in microseconds. */
  private static final class Estimate {
    int samples;
    double mean;
    double deviation;
    double unqueued;
    Moment updatedAt = Moment.LONG_AGO;
  }

  /** Weight of one completed attempt once many have been observed. */
  private static final double SAMPLE_WEIGHT = Timing.LEARNING_RATE / 4;

  /** Weight of an attempt that took longer than the estimate for an execution without a queue. */
  private static final double QUEUED_SAMPLE_WEIGHT = SAMPLE_WEIGHT / 10;

  /** Deviation assumed after the first sample, as a share of it; as in RFC 6298. */
  private static final double INITIAL_DEVIATION_SHARE = 0.5;

  private Workload[] workloads;
  private Estimate[] estimates = {};
  private int samples;
  private double overallMean;

  ServiceTimes(Workload[] workloads) {
    applySettings(workloads);
    overallMean =
        Arrays.stream(workloads)
            .mapToDouble(workload -> workload.latencyObjective().micros())
            .average()
            .orElse(0);
  }

  /** Existing workloads keep their indices and estimates; new ones are appended. */
  void applySettings(Workload[] newWorkloads) {
    int known = estimates.length;
    estimates = Arrays.copyOf(estimates, newWorkloads.length);
    for (int index = known; index < newWorkloads.length; index++) {
      estimates[index] = new Estimate();
    }
    workloads = newWorkloads;
  }

  int workloadCount() {
    return estimates.length;
  }

  /** Whether any statement of the workload has been answered. */
  boolean isKnown(int workloadIndex) {
    return estimates[workloadIndex].samples > 0;
  }

  /** Whether any statement has been answered. */
  boolean isAnyKnown() {
    return samples > 0;
  }

  /** The mean time of a statement; the latency objective before the first answer. */
  double typicalMicros(int workloadIndex) {
    return isKnown(workloadIndex)
        ? estimates[workloadIndex].mean
        : workloads[workloadIndex].latencyObjective().micros();
  }

  /**
   * The time that the work of a statement still needs, as far as recent answers show; none if there
   * were none. An estimate fades while no answer confirms it: otherwise statements would be
   * rejected for ever because of a slow phase that has ended.
   */
  Span expectedWork(int workloadIndex, Moment now) {
    return new Span((long) (estimates[workloadIndex].mean * certainty(workloadIndex, now)));
  }

  /**
   * The time within which most statements of the workload are answered: the mean and one mean
   * absolute deviation. It fades likewise.
   */
  Span likelyWork(int workloadIndex, Moment now) {
    Estimate estimate = estimates[workloadIndex];
    double likely = estimate.mean + estimate.deviation;
    return new Span((long) (likely * certainty(workloadIndex, now)));
  }

  /** How far an estimate is to be trusted: one answer alone may be an exception. */
  private double certainty(int workloadIndex, Moment now) {
    Estimate estimate = estimates[workloadIndex];
    return estimate.samples == 0
        ? 0
        : (1 - 1.0 / estimate.samples)
            * Math.exp(-now.since(estimate.updatedAt).ratioTo(Timing.SHORT_DECAY));
  }

  /**
   * How many times as long statements of the workload take as those of all others: by their
   * answers, or before the first answer by their latency objectives. 1 if that can't be compared.
   */
  double ratioToOthers(int workloadIndex) {
    boolean known = isKnown(workloadIndex);
    double othersWeight = 0;
    double othersMicros = 0;
    for (int other = 0; other < estimates.length; other++) {
      if (other != workloadIndex) {
        double weight = known ? estimates[other].samples : 1;
        double objective = workloads[other].latencyObjective().micros();
        othersWeight += weight;
        othersMicros += weight * (known ? estimates[other].mean : objective);
      }
    }
    return othersMicros == 0 ? 1 : typicalMicros(workloadIndex) * othersWeight / othersMicros;
  }

  /** The time of an execution that does not wait at its endpoint; 0 before the first answer. */
  double unqueuedMicros(int workloadIndex) {
    return estimates[workloadIndex].unqueued;
  }

  /** The typical time over all workloads, weighted by how often each occurs. */
  double overallMicros() {
    return overallMean;
  }

  /**
   * Records a completed attempt.
   *
   * @param endpointBusy whether the endpoint had no free CPU, so that the attempt may have waited
   */
  void recordCompletion(int workloadIndex, Span duration, boolean endpointBusy, Moment now) {
    double micros = Math.max(1, duration.micros());
    Estimate estimate = estimates[workloadIndex];
    estimate.samples++;
    estimate.updatedAt = now;
    double weight = sampleWeight(estimate.samples);
    if (estimate.samples == 1) {
      estimate.unqueued = micros;
      estimate.deviation = INITIAL_DEVIATION_SHARE * micros;
    } else {
      estimate.deviation += weight * (Math.abs(micros - estimate.mean) - estimate.deviation);
    }
    estimate.mean += weight * (micros - estimate.mean);
    updateUnqueued(estimate, micros, endpointBusy);
    samples++;
    overallMean += sampleWeight(samples) * (micros - overallMean);
  }

  /** Follows the fastest answers: a slower one may have waited, above all at a busy endpoint. */
  private static void updateUnqueued(Estimate estimate, double micros, boolean endpointBusy) {
    if (micros < estimate.unqueued) {
      estimate.unqueued += Timing.LEARNING_RATE * (micros - estimate.unqueued);
    } else if (!endpointBusy) {
      estimate.unqueued += QUEUED_SAMPLE_WEIGHT * (micros - estimate.unqueued);
    }
  }

  /** The first samples count fully: their plain average is the best estimate there is. */
  private static double sampleWeight(int count) {
    return Math.max(SAMPLE_WEIGHT, 1.0 / count);
  }
}
