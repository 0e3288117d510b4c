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

/** Creates learned states for tests. */
public final class LearnedStateFixtures {
  private LearnedStateFixtures() {}

  /** Derives all values from {@code number}, so that a mixture of two states is detected. */
  public static LearnedState createLearnedState(long number, int endpointCount) {
    SplittableRandom random = new SplittableRandom(number);
    List<StoredEndpoint> knownEndpoints = new ArrayList<>();
    for (int i = 0; i < endpointCount; i++) {
      knownEndpoints.add(
          new StoredEndpoint(
              "n-" + i + "-" + number, "127.0.0.1:" + (1_000 + i), createEndpointState(i, random)));
    }
    return new LearnedState(
        "fleet",
        "n3",
        number,
        1_000_000 + number,
        5_000 + number,
        "boot",
        41,
        knownEndpoints,
        List.of(
            new GroupState(0, random.nextDouble(), 0), new GroupState(1, 0, random.nextDouble())));
  }

  /** Draws random values in the order of the record's components. */
  private static EndpointState createEndpointState(int number, SplittableRandom random) {
    return new EndpointStateBuilder()
        .group(number % 3)
        .listedStartMicros(1_000L * random.nextInt(1_000))
        .draining(random.nextBoolean())
        .primary(number == 0)
        .sinceStart(new Span(random.nextInt(1_000_000)))
        .sinceNotPrimary(random.nextBoolean() ? EndpointState.NEVER : new Span(random.nextInt()))
        .unresponsive(random.nextBoolean())
        .downFor(random.nextBoolean() ? EndpointState.NEVER : new Span(random.nextInt(1_000_000)))
        .failureRate(random.nextDouble())
        .latencyStrain(random.nextDouble() - 0.5)
        .capacity(12 * random.nextDouble())
        .consecutiveRejections(random.nextInt(6))
        .remainingBackoff(new Span(random.nextInt(1_000)))
        .lag(new Span(random.nextInt(1_000)))
        .slowStartSpent(random.nextDouble())
        .sinceSlowStartSpent(new Span(random.nextInt(1_000_000)))
        .build();
  }
}
