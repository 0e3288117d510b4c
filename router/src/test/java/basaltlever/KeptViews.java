package basaltlever;

import basaltlever.time.Span;
import basaltlever.view.GroupView;
import basaltlever.view.Known;
import basaltlever.view.NodeView;
import basaltlever.view.View;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Learned states for tests. */
public final class KeptViews {
  private KeptViews() {}

  /** The number gives all else, so that a mixture of two shows. */
  public static View view(long number, int nodes) {
    SplittableRandom chance = new SplittableRandom(number);
    List<Known> known = new ArrayList<>();
    for (int i = 0; i < nodes; i++) {
      known.add(
          new Known(
              "n-" + i + "-" + number,
              "127.0.0.1:" + (1_000 + i),
              new NodeView(
                  i % 3,
                  1_000L * chance.nextInt(1_000),
                  chance.nextBoolean(),
                  i == 0,
                  new Span(chance.nextInt(1_000_000)),
                  chance.nextBoolean() ? NodeView.NEVER : new Span(chance.nextInt()),
                  chance.nextBoolean(),
                  chance.nextBoolean() ? NodeView.NEVER : new Span(chance.nextInt(1_000_000)),
                  chance.nextDouble(),
                  chance.nextDouble() - 0.5,
                  12 * chance.nextDouble(),
                  chance.nextInt(6),
                  new Span(chance.nextInt(1_000)),
                  new Span(chance.nextInt(1_000)),
                  chance.nextDouble(),
                  new Span(chance.nextInt(1_000_000)))));
    }
    return new View(
        "fleet",
        "n3",
        number,
        1_000_000 + number,
        5_000 + number,
        "boot",
        41,
        known,
        List.of(
            new GroupView(0, chance.nextDouble(), 0), new GroupView(1, 0, chance.nextDouble())));
  }
}
