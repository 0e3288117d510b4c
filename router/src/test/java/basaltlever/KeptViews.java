package basaltlever;

import basaltlever.snapshot.EndpointState;
import basaltlever.snapshot.EndpointStateBuilder;
import basaltlever.snapshot.GroupState;
import basaltlever.snapshot.LearnedState;
import basaltlever.snapshot.StoredEndpoint;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Learned states for tests. */
public final class KeptViews {
  private KeptViews() {}

  /** The number gives all else, so that a mixture of two shows. */
  public static LearnedState view(long number, int nodes) {
    SplittableRandom chance = new SplittableRandom(number);
    List<StoredEndpoint> known = new ArrayList<>();
    for (int i = 0; i < nodes; i++) {
      known.add(
          new StoredEndpoint(
              "n-" + i + "-" + number, "127.0.0.1:" + (1_000 + i), state(i, chance)));
    }
    return new LearnedState(
        "fleet",
        "n3",
        number,
        1_000_000 + number,
        5_000 + number,
        "boot",
        41,
        known,
        List.of(
            new GroupState(0, chance.nextDouble(), 0), new GroupState(1, 0, chance.nextDouble())));
  }

  /** Draws from the source of chance in the order of the record's components. */
  private static EndpointState state(int number, SplittableRandom chance) {
    return new EndpointStateBuilder()
        .group(number % 3)
        .listedStartMicros(1_000L * chance.nextInt(1_000))
        .draining(chance.nextBoolean())
        .primary(number == 0)
        .sinceStart(new Span(chance.nextInt(1_000_000)))
        .sinceNotPrimary(chance.nextBoolean() ? EndpointState.NEVER : new Span(chance.nextInt()))
        .unresponsive(chance.nextBoolean())
        .downFor(chance.nextBoolean() ? EndpointState.NEVER : new Span(chance.nextInt(1_000_000)))
        .failureRate(chance.nextDouble())
        .latencyStrain(chance.nextDouble() - 0.5)
        .capacity(12 * chance.nextDouble())
        .consecutiveRejections(chance.nextInt(6))
        .remainingBackoff(new Span(chance.nextInt(1_000)))
        .lag(new Span(chance.nextInt(1_000)))
        .slowStartSpent(chance.nextDouble())
        .sinceSlowStartSpent(new Span(chance.nextInt(1_000_000)))
        .build();
  }
}
