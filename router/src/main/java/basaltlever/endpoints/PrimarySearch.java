package basaltlever.endpoints;

import basaltlever.model.Endpoint;
import basaltlever.model.ReplicaGroup;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Chooses the endpoints to poll next to find the primary of a group that is large or not polled
 * regularly: a few in parallel, each router starting at its own position, until one reports itself
 * primary. A round without success is followed by another.
 */
public final class PrimarySearch {
  /**
   * Parallel polls if no primary was known before: most primaries are found among the first few
   * endpoints.
   */
  private static final int PARALLEL_POLLS_AT_START = 2;

  /** Parallel polls if a primary was lost and statements wait for its successor. */
  private static final int PARALLEL_POLLS_AFTER_LOSS = 8;

  /** A poll that is unanswered for this long no longer delays polls of other endpoints. */
  private static final Span POLL_STALL_TIMEOUT = Span.ofMillis(50);

  private PrimarySearch() {}

  /** Returns the endpoints to poll now; their polls must be sent before the next call. */
  public static List<Endpoint> nextEndpoints(
      ReplicaGroup group,
      Moment now,
      Span betweenRounds,
      int startPosition,
      Predicate<Endpoint> canBePolled) {
    List<Endpoint> polled = group.search().pendingEndpoints();
    polled.removeIf(
        endpoint ->
            !endpoint.polling().isInFlight()
                || now.since(endpoint.polling().sentAt()).isLongerThan(POLL_STALL_TIMEOUT));
    boolean roundOver = group.search().isRoundOver(group.endpoints().size());
    if (roundOver
        && polled.isEmpty()
        && !now.since(group.search().roundStartedAt()).isShorterThan(betweenRounds)) {
      group.search().startRound(now);
    }
    int maxParallelPolls =
        group.lostPrimary() == null ? PARALLEL_POLLS_AT_START : PARALLEL_POLLS_AFTER_LOSS;
    List<Endpoint> toPoll = new ArrayList<>(maxParallelPolls);
    while (polled.size() < maxParallelPolls
        && !group.search().isRoundOver(group.endpoints().size())) {
      Endpoint candidate =
          group
              .endpoints()
              .get((startPosition + group.search().takeNextIndex()) % group.endpoints().size());
      if (canBePolled.test(candidate) && !candidate.polling().isInFlight()) {
        polled.add(candidate);
        toPoll.add(candidate);
      }
    }
    return toPoll;
  }
}
