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
  private static final Span STALLED_AFTER = Span.ofMillis(50);

  private PrimarySearch() {}

  /** The members to poll now; their polls must be sent before the next call. */
  public static List<Endpoint> next(
      ReplicaGroup group,
      Moment now,
      Span betweenRounds,
      int startPlace,
      Predicate<Endpoint> mayBeAsked) {
    List<Endpoint> asked = group.search().pendingEndpoints();
    asked.removeIf(
        endpoint ->
            !endpoint.polling().isInFlight()
                || now.since(endpoint.polling().sentAt()).isLongerThan(STALLED_AFTER));
    boolean roundOver = group.search().isRoundOver(group.endpoints().size());
    if (roundOver
        && asked.isEmpty()
        && !now.since(group.search().roundStartedAt()).isShorterThan(betweenRounds)) {
      group.search().startRound(now);
    }
    int atOnce = group.lostPrimary() == null ? PARALLEL_POLLS_AT_START : PARALLEL_POLLS_AFTER_LOSS;
    List<Endpoint> next = new ArrayList<>(atOnce);
    while (asked.size() < atOnce && !group.search().isRoundOver(group.endpoints().size())) {
      Endpoint member =
          group
              .endpoints()
              .get((startPlace + group.search().takeNextIndex()) % group.endpoints().size());
      if (mayBeAsked.test(member) && !member.polling().isInFlight()) {
        asked.add(member);
        next.add(member);
      }
    }
    return next;
  }
}
