package basaltlever.lab;

import basaltlever.config.StartFile;
import basaltlever.core.Effects;
import basaltlever.core.StatementRouter;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.snapshot.EndpointState;
import basaltlever.snapshot.LearnedState;
import basaltlever.snapshot.StateRestore;
import basaltlever.snapshot.StoredEndpoint;
import basaltlever.storage.SnapshotCodec;
import basaltlever.storage.SystemClocks;
import basaltlever.time.Moment;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.lang.reflect.Proxy;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** How long the loop is held by an export, what a load takes, and how many bytes a node costs. */
@Parameters(commandDescription = "Measures what a view costs the loop, a start and the disk")
final class ViewCost {
  /** As the router does it. */
  private static final int NODES_A_TURN = 32;

  @Parameter(names = "--nodes", description = "how many")
  private int nodes = 1_000;

  @Parameter(names = "--runs", description = "exports timed")
  private int runs = 3_000;

  @Parameter(names = "--start", description = "a start file, for its settings")
  private String start = "deploy/example.json";

  @Parameter(names = "--json", description = "file for the figures")
  private String json;

  int run() throws Exception {
    Moment now = new Moment(SystemClocks.unixMicros());
    StatementRouter<String> core = core(now);
    List<StoredEndpoint> made = MadeViews.nodes(1, nodes);
    core.onListStarted();
    for (StoredEndpoint known : made) {
      core.onEndpointListed(
          now,
          known.id(),
          EndpointLifecycle.READY,
          known.state().group(),
          0,
          1,
          new Moment(known.state().listedStartMicros()));
      core.restore(now, known.id(), known.state());
    }
    core.onListFinished(now, true, true);
    Histogram held = new Histogram(3);
    LearnedState view = null;
    for (int i = 0; i < runs; i++) {
      List<StoredEndpoint> out = new ArrayList<>();
      boolean more = true;
      for (int from = 0; more; from += NODES_A_TURN) {
        long before = System.nanoTime();
        more =
            core.collectEndpointStates(
                now,
                from,
                NODES_A_TURN,
                (id, learned) -> out.add(new StoredEndpoint(id, "127.0.0.1:1024", learned)));
        if (!more) {
          view =
              new LearnedState(
                  MadeViews.DEPLOYMENT,
                  MadeViews.ROUTER,
                  1,
                  SystemClocks.unixMicros(),
                  SystemClocks.monotonicMicros(),
                  "",
                  1,
                  out,
                  core.groupStates(now));
        }
        held.recordValue((System.nanoTime() - before) / 1_000);
      }
    }
    byte[] file = SnapshotCodec.encode(view, SnapshotCodec.MAX_FILE_BYTES);
    long heap = used();
    long before = System.nanoTime();
    StateRestore offered =
        StateRestore.evaluate(
            SnapshotCodec.decode(file),
            MadeViews.DEPLOYMENT,
            MadeViews.ROUTER,
            SystemClocks.unixMicros(),
            SystemClocks.monotonicMicros(),
            SystemClocks.bootId());
    double firstLoad = (System.nanoTime() - before) / 1e6;
    before = System.nanoTime();
    SnapshotCodec.decode(file);
    double load = (System.nanoTime() - before) / 1e6;
    long taken = used() - heap;
    StatementRouter<String> fresh = core(now);
    before = System.nanoTime();
    fresh.onListStarted();
    for (StoredEndpoint known : view.endpoints()) {
      fresh.onEndpointListed(
          now,
          known.id(),
          EndpointLifecycle.READY,
          known.state().group(),
          0,
          1,
          new Moment(known.state().listedStartMicros()));
      EndpointState learned =
          offered.takeEndpoint(
              known.id(), known.address(), known.state().listedStartMicros(), 2, true);
      if (learned == null) {
        throw new IllegalStateException("a node was not known again");
      }
      fresh.restore(now, known.id(), learned);
    }
    fresh.onListFinished(now, true, true);
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("nodes", nodes);
    figures.put("export_p50_us", held.getValueAtPercentile(50));
    figures.put("export_p99_us", held.getValueAtPercentile(99));
    figures.put("export_p999_us", held.getValueAtPercentile(99.9));
    figures.put("export_max_us", held.getMaxValue());
    figures.put("first_load_ms", firstLoad);
    figures.put("load_ms", load);
    figures.put("take_over_ms", (System.nanoTime() - before) / 1e6);
    figures.put("bytes_a_node", (double) file.length / nodes);
    figures.put("heap_bytes_a_node", (double) taken / nodes);
    Figures.tell(figures, json);
    return held.getValueAtPercentile(99.9) < 1_000 && load < 50 ? 0 : 1;
  }

  private StatementRouter<String> core(Moment now) throws Exception {
    @SuppressWarnings("unchecked")
    Effects<String> nobody =
        (Effects<String>)
            Proxy.newProxyInstance(
                getClass().getClassLoader(),
                new Class<?>[] {Effects.class},
                (proxy, method, arguments) -> null);
    return new StatementRouter<>(
        nobody, StartFile.read(Path.of(start)).startValues().loadBalancerFactory(1, now));
  }

  private static long used() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
