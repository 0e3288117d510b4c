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
 * Generates learned states whose contents follow from the sequence number, so that a stored state
 * which is incomplete or mixed from two states can be detected.
 */
final class SyntheticStates {
  static final String DEPLOYMENT = "lab";
  static final String ROUTER = "made";

  private SyntheticStates() {}

  static List<StoredEndpoint> storedEndpoints(long sequence, int endpointCount) {
    SplittableRandom random = new SplittableRandom(sequence);
    List<StoredEndpoint> endpoints = new ArrayList<>(endpointCount);
    for (int i = 0; i < endpointCount; i++) {
      endpoints.add(
          new StoredEndpoint(
              "node-" + i + "-" + random.nextInt(1_000_000),
              "127.0.0.1:" + (1_024 + i),
              new EndpointState(
                  i / 9,
                  1_000L * random.nextInt(1_000_000),
                  false,
                  i % 9 == 0,
                  EndpointState.NEVER,
                  EndpointState.NEVER,
                  random.nextInt(9) == 0,
                  EndpointState.NEVER,
                  0.06 + 0.9 * random.nextDouble(),
                  random.nextDouble(),
                  12 * random.nextDouble(),
                  random.nextInt(6),
                  Span.NONE,
                  new Span(random.nextInt(1_000_000)),
                  0,
                  EndpointState.NEVER)));
    }
    return endpoints;
  }

  static LearnedState learnedState(long sequence, int endpointCount) {
    return new LearnedState(
        DEPLOYMENT,
        ROUTER,
        sequence,
        SystemClocks.unixMicros(),
        SystemClocks.monotonicMicros(),
        SystemClocks.bootId(),
        sequence,
        storedEndpoints(sequence, endpointCount),
        List.of());
  }
}
