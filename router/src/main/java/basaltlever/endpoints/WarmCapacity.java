package basaltlever.endpoints;

import basaltlever.model.Endpoint;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * The work a second that warm endpoints answer for this router, for each unit of their size, over
 * all endpoints. A long list is gone over in parts: each call looks at so many of them, and the
 * answer is that of the last whole pass.
 */
public final class WarmCapacity {
  private static final int ENDPOINTS_PER_CALL = 64;
  private int cursor;
  private double totalWork;
  private double totalSize;
  private double workPerSize;

  /** Endpoints may hold nulls. */
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
