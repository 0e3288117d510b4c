package basaltlever.lab.virtual;

import basaltlever.config.InvalidSettingsException;
import basaltlever.config.StartFile;
import basaltlever.config.StartValues;
import basaltlever.lab.load.Front;
import basaltlever.lab.load.Load;
import basaltlever.lab.scenario.Scenario;
import basaltlever.lab.world.Ask;
import basaltlever.lab.world.Faults;
import basaltlever.lab.world.World;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A scenario in virtual time, for sizes that sockets can't reach; every run from one seed is the
 * same.
 */
public final class VirtualRun {
  private static final Span LOOKS = Span.ofMillis(1_000);
  private static final Span SETTLES = Span.ofMillis(4_000);
  private final Scenario scenario;
  private final VirtualTime time = new VirtualTime();
  private final World world;
  private final Faults faults;
  private final List<VirtualRouter> routers = new ArrayList<>();
  private final List<StartValues> shapes;
  private int switches;

  public VirtualRun(Scenario scenario, long seed) throws InvalidSettingsException {
    this(scenario, seed, Bug.NONE);
  }

  public VirtualRun(Scenario scenario, long seed, Bug bug) throws InvalidSettingsException {
    this.scenario = scenario;
    int count = scenario.count("routers");
    world =
        new World(
            time,
            new SplittableRandom(seed),
            scenario.span("grace_ms"),
            LOOKS,
            scenario.replicasCheck,
            scenario.count("groups"),
            scenario.count("members"),
            scenario.count("cores"),
            count);
    world.abrupt(scenario.abrupt);
    faults =
        new Faults(
            world,
            scenario.faults,
            scenario.span("faults_from_ms"),
            scenario.span("faults_to_ms"),
            count);
    shapes = List.of(values(false), values(true));
    for (int r = 0; r < count; r++) {
      routers.add(new VirtualRouter(r, world, shapes.get(0), scenario.changes, bug));
    }
    time.runUntil(time.now().plus(LOOKS));
  }

  private StartValues values(boolean another) throws InvalidSettingsException {
    return StartFile.parse(
            "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"settings\":"
                + scenario.settings(another)
                + "}")
        .startValues();
  }

  /** All routers to the other shape, and with the next step back. */
  private void switchOn(Span every) {
    time.after(
        every,
        () -> {
          switches++;
          routers.forEach(router -> router.agree(shapes.get(switches % 2), switches % 2 == 1));
          switchOn(every);
        });
  }

  public World world() {
    return world;
  }

  public Map<String, Object> play() {
    Span seconds = Span.ofMillis(scenario.number("seconds") * 1_000);
    Load load =
        new Load(
            world,
            new Front() {
              @Override
              public void ask(Ask ask, Told told) {
                routers.get(ask.router).ask(ask, told);
              }

              @Override
              public void leave(Ask ask) {
                routers.get(ask.router).leave(ask);
              }
            },
            faults,
            scenario.loaded(),
            routers.size());
    load.runFor(seconds);
    if (scenario.number("switch_ms") > 0) {
      switchOn(scenario.span("switch_ms"));
    }
    faults.runFor(seconds.minus(Span.ofMillis(500)));
    if (scenario.allAtOnce != null) {
      time.after(
          scenario.span("all_at_once_s").times(1_000),
          () -> faults.all(scenario.allAtOnce, scenario.number("all_share")));
    }
    time.runUntil(time.now().plus(seconds).plus(SETTLES));
    Map<String, Object> figures = world.ledger.figures();
    figures.put("faults", faults.done());
    figures.put("switches", switches);
    figures.put("promotion_ms", world.promotionMillis());
    if (scenario.allAtOnce != null) {
      figures.put("recovered_95_s", world.series().recovery(scenario.number("seconds")));
    }
    figures.put("polls", routers.stream().mapToLong(VirtualRouter::polls).sum());
    return figures;
  }
}
