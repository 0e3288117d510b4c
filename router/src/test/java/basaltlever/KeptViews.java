package basaltlever;

import basaltlever.snapshot.EndpointState;
import basaltlever.snapshot.GroupState;
import basaltlever.snapshot.KnownEndpoint;
import basaltlever.snapshot.LearnedState;
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
    List<KnownEndpoint> known = new ArrayList<>();
    for (int i = 0; i < nodes; i++) {
      known.add(
          new KnownEndpoint(
              "n-" + i + "-" + number,
              "127.0.0.1:" + (1_000 + i),
              new EndpointState(
                  i % 3,
                  1_000L * chance.nextInt(1_000),
                  chance.nextBoolean(),
                  i == 0,
                  new Span(chance.nextInt(1_000_000)),
                  chance.nextBoolean() ? EndpointState.NEVER : new Span(chance.nextInt()),
                  chance.nextBoolean(),
                  chance.nextBoolean() ? EndpointState.NEVER : new Span(chance.nextInt(1_000_000)),
                  chance.nextDouble(),
                  chance.nextDouble() - 0.5,
                  12 * chance.nextDouble(),
                  chance.nextInt(6),
                  new Span(chance.nextInt(1_000)),
                  new Span(chance.nextInt(1_000)),
                  chance.nextDouble(),
                  new Span(chance.nextInt(1_000_000)))));
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
}
