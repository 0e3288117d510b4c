package basaltlever.endpoints;

import basaltlever.model.Endpoint;
import basaltlever.model.ReplicaGroup;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Which members to poll next to find the primary of a group that this router does not poll
 * regularly, or that is large: a few at a time, each router beginning at its own place, until one
 * reports itself primary. A round that found none is followed by another.
 */
public final class PrimarySearch {
  /**
   * Members polled at a time where no primary was known yet: most are found among the first few.
   */
  private static final int PARALLEL_POLLS_AT_START = 2;

  /** Members polled at a time where a primary was lost, and its successor is waited for. */
  private static final int PARALLEL_POLLS_AFTER_LOSS = 8;

  /** A member that has not answered for so long no longer delays the next one. */
  private static final Span POLL_STALL_TIMEOUT = Span.ofMillis(50);

  private PrimarySearch() {}

  /** The members to poll now; their polls must be sent before the next call. */
  public static List<Endpoint> nextEndpoints(
      ReplicaGroup group,
      Moment now,
      Span betweenRounds,
      int startPosition,
      Predicate<Endpoint> canBePolled) {
    List<Endpoint> polled = group.search().polled();
    polled.removeIf(
        endpoint ->
            !endpoint.polling().isInFlight()
                || now.since(endpoint.polling().sentAt()).isLongerThan(POLL_STALL_TIMEOUT));
    boolean roundOver = group.search().isRoundOver(group.members().size());
    if (roundOver
        && polled.isEmpty()
        && !now.since(group.search().roundStartedAt()).isShorterThan(betweenRounds)) {
      group.search().startRound(now);
    }
    int maxParallelPolls =
        group.lostPrimary() == null ? PARALLEL_POLLS_AT_START : PARALLEL_POLLS_AFTER_LOSS;
    List<Endpoint> toPoll = new ArrayList<>(maxParallelPolls);
    while (polled.size() < maxParallelPolls
        && !group.search().isRoundOver(group.members().size())) {
      Endpoint candidate =
          group
              .members()
              .get((startPosition + group.search().takeNextPlace()) % group.members().size());
      if (canBePolled.test(candidate) && !candidate.polling().isInFlight()) {
        polled.add(candidate);
        toPoll.add(candidate);
      }
    }
    return toPoll;
  }
}
