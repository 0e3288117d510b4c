package basaltlever.endpoints;

import basaltlever.model.Endpoint;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * The work a second that warm servers bear from this router, for each unit of their size, over all
 * servers. A long list is gone over in parts: each question looks at so many of them, and the
 * answer is that of the last whole pass.
 */
public final class WarmCapacity {
  private static final int AT_ONCE = 64;
  private int cursor;
  private double work;
  private double size;
  private double perSize;

  /** Nodes may hold nulls. */
  public double perSize(
      List<Endpoint> nodes, Predicate<Endpoint> isWarm, ToDoubleFunction<Endpoint> workPerSecond) {
    for (int looked = 0; looked < AT_ONCE; looked++) {
      if (cursor >= nodes.size()) {
        perSize = size == 0 ? 0 : work / size;
        cursor = 0;
        work = 0;
        size = 0;
        return perSize;
      }
      Endpoint node = nodes.get(cursor++);
      if (node != null && isWarm.test(node)) {
        work += workPerSecond.applyAsDouble(node);
        size += node.relativeSize();
      }
    }
    return perSize;
  }
}
