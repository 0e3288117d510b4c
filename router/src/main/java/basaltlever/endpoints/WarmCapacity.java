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
  private double work;
  private double size;
  private double perSize;

  /** Endpoints may hold nulls. */
  public double perSize(
      List<Endpoint> endpoints,
      Predicate<Endpoint> isWarm,
      ToDoubleFunction<Endpoint> workPerSecond) {
    for (int looked = 0; looked < ENDPOINTS_PER_CALL; looked++) {
      if (cursor >= endpoints.size()) {
        perSize = size == 0 ? 0 : work / size;
        cursor = 0;
        work = 0;
        size = 0;
        return perSize;
      }
      Endpoint endpoint = endpoints.get(cursor++);
      if (endpoint != null && isWarm.test(endpoint)) {
        work += workPerSecond.applyAsDouble(endpoint);
        size += endpoint.relativeSize();
      }
    }
    return perSize;
  }
}
