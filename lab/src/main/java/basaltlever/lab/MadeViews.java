package basaltlever.lab;

import basaltlever.keep.Machine;
import basaltlever.time.Span;
import basaltlever.view.Known;
import basaltlever.view.NodeView;
import basaltlever.view.View;
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

  static List<Known> nodes(long number, int count) {
    SplittableRandom chance = new SplittableRandom(number);
    List<Known> nodes = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      nodes.add(
          new Known(
              "node-" + i + "-" + chance.nextInt(1_000_000),
              "127.0.0.1:" + (1_024 + i),
              new NodeView(
                  i / 9,
                  1_000L * chance.nextInt(1_000_000),
                  false,
                  i % 9 == 0,
                  NodeView.NEVER,
                  NodeView.NEVER,
                  chance.nextInt(9) == 0,
                  NodeView.NEVER,
                  0.06 + 0.9 * chance.nextDouble(),
                  chance.nextDouble(),
                  12 * chance.nextDouble(),
                  chance.nextInt(6),
                  Span.NONE,
                  new Span(chance.nextInt(1_000_000)),
                  0,
                  NodeView.NEVER)));
    }
    return nodes;
  }

  static View view(long number, int count) {
    return new View(
        DEPLOYMENT,
        ROUTER,
        number,
        Machine.now(),
        Machine.steady(),
        Machine.boot(),
        number,
        nodes(number, count),
        List.of());
  }
}
