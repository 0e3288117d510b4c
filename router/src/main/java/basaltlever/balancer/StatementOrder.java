package basaltlever.balancer;

import basaltlever.model.Statement;
import java.util.Comparator;

/** Defines the order in which waiting statements get capacity. */
final class StatementOrder {
  /** Highest priority first, and for equal priorities the earliest arrival. */
  static final Comparator<Statement> BY_PRIORITY =
      Comparator.comparingDouble((Statement statement) -> -statement.priority())
          .thenComparingLong(statement -> statement.receivedAt().micros())
          .thenComparingInt(Statement::id);

  private StatementOrder() {}
}
