package basaltlever.lab;

import basaltlever.snapshot.EndpointState;
import basaltlever.snapshot.LearnedState;
import basaltlever.snapshot.StoredEndpoint;
import basaltlever.storage.SystemClocks;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Views of which the number gives all that was learned, so that a mixture of two, or a piece of
 * one, shows.
 */
final class MadeViews {
  static final String DEPLOYMENT = "lab";
  static final String ROUTER = "made";

  private MadeViews() {}

  static List<StoredEndpoint> nodes(long number, int count) {
    SplittableRandom chance = new SplittableRandom(number);
    List<StoredEndpoint> nodes = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      nodes.add(
          new StoredEndpoint(
              "node-" + i + "-" + chance.nextInt(1_000_000),
              "127.0.0.1:" + (1_024 + i),
              new EndpointState(
                  i / 9,
                  1_000L * chance.nextInt(1_000_000),
                  false,
                  i % 9 == 0,
                  EndpointState.NEVER,
                  EndpointState.NEVER,
                  chance.nextInt(9) == 0,
                  EndpointState.NEVER,
                  0.06 + 0.9 * chance.nextDouble(),
                  chance.nextDouble(),
                  12 * chance.nextDouble(),
                  chance.nextInt(6),
                  Span.NONE,
                  new Span(chance.nextInt(1_000_000)),
                  0,
                  EndpointState.NEVER)));
    }
    return nodes;
  }

  static LearnedState view(long number, int count) {
    return new LearnedState(
        DEPLOYMENT,
        ROUTER,
        number,
        SystemClocks.unixMicros(),
        SystemClocks.monotonicMicros(),
        SystemClocks.bootId(),
        number,
        nodes(number, count),
        List.of());
  }
}
