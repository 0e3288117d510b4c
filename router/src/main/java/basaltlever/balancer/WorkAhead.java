package basaltlever.balancer;

/**
 * The work that a group's endpoints do before they can begin a waiting statement.
 *
 * @param micros the sum of the typical times of the statements ahead, in microseconds
 * @param concurrency how many statements the endpoints execute for this router at the same time; 0
 *     if none of them is usable
 */
record WorkAhead(double micros, double concurrency) {
  /** Returns the work ahead of the next statement in the queue. */
  WorkAhead plus(double statementMicros) {
    return new WorkAhead(micros + statementMicros, concurrency);
  }
}
