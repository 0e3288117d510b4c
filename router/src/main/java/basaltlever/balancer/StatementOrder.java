package basaltlever.balancer;

import basaltlever.model.Statement;
import java.util.Comparator;

/** The order in which waiting statements get capacity. */
final class StatementOrder {
  /** The highest priority weight first, among equals the earliest. */
  static final Comparator<Statement> BY_PRIORITY =
      Comparator.comparingDouble((Statement statement) -> -statement.workload().priorityWeight())
          .thenComparingLong(statement -> statement.receivedAt().micros())
          .thenComparingInt(Statement::id);

  private StatementOrder() {}
}
