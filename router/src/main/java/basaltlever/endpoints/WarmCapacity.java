package basaltlever.endpoints;

import basaltlever.model.Endpoint;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Measures the work per second that warm endpoints answer for this router, per unit of their size,
 * over all endpoints. A long list is processed in parts: each call visits a limited number of
 * endpoints, and the result is that of the last completed pass.
 */
public final class WarmCapacity {
  private static final int ENDPOINTS_PER_CALL = 64;
  private int cursor;
  private double totalWork;
  private double totalSize;
  private double workPerSize;

  /**
   * Continues the pass over the endpoints, which may contain nulls, and returns the result of the
   * last completed one.
   */
  public double workPerSize(
      List<Endpoint> endpoints,
      Predicate<Endpoint> isWarm,
      ToDoubleFunction<Endpoint> workPerSecond) {
    for (int visited = 0; visited < ENDPOINTS_PER_CALL; visited++) {
      if (cursor >= endpoints.size()) {
        workPerSize = totalSize == 0 ? 0 : totalWork / totalSize;
        cursor = 0;
        totalWork = 0;
        totalSize = 0;
        return workPerSize;
      }
      Endpoint endpoint = endpoints.get(cursor++);
      if (endpoint != null && isWarm.test(endpoint)) {
        totalWork += workPerSecond.applyAsDouble(endpoint);
        totalSize += endpoint.relativeSize();
      }
    }
    return workPerSize;
  }
}
