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

/**
 * Measures how long each step of an export of the learned state blocks the event loop, how long a
 * snapshot takes to load, and how many bytes an endpoint takes.
 */
@Parameters(
    commandDescription = "Measures the cost of a snapshot: event loop time, load time and size")
final class ViewCostCommand {
  /** The same number as in the router. */
  private static final int ENDPOINTS_PER_EXPORT_STEP = 32;

  @Parameter(names = "--nodes", description = "number of endpoints")
  private int endpointCount = 1_000;

  @Parameter(names = "--runs", description = "number of measured exports")
  private int exportCount = 3_000;

  @Parameter(names = "--start", description = "start file with the settings")
  private String startFile = "deploy/example.json";

  @Parameter(names = "--json", description = "output file for the figures")
  private String figuresFile;

  int run() throws Exception {
    Moment now = new Moment(SystemClocks.unixMicros());
    StatementRouter<String> router = createRouter(now);
    List<StoredEndpoint> endpoints = SyntheticStates.storedEndpoints(1, endpointCount);
    router.onListStarted();
    for (StoredEndpoint endpoint : endpoints) {
      router.onEndpointListed(
          now,
          endpoint.id(),
          EndpointLifecycle.READY,
          endpoint.state().group(),
          0,
          1,
          new Moment(endpoint.state().listedStartMicros()));
      router.restore(now, endpoint.id(), endpoint.state());
    }
    router.onListFinished(now, true, true);
    Histogram exportMicros = new Histogram(3);
    LearnedState state = null;
    for (int i = 0; i < exportCount; i++) {
      List<StoredEndpoint> exported = new ArrayList<>();
      boolean hasMore = true;
      for (int from = 0; hasMore; from += ENDPOINTS_PER_EXPORT_STEP) {
        long startNanos = System.nanoTime();
        hasMore =
            router.collectEndpointStates(
                now,
                from,
                ENDPOINTS_PER_EXPORT_STEP,
                (id, learned) -> exported.add(new StoredEndpoint(id, "127.0.0.1:1024", learned)));
        if (!hasMore) {
          state =
              new LearnedState(
                  SyntheticStates.DEPLOYMENT,
                  SyntheticStates.ROUTER,
                  1,
                  SystemClocks.unixMicros(),
                  SystemClocks.monotonicMicros(),
                  "",
                  1,
                  exported,
                  List.of());
        }
        exportMicros.recordValue((System.nanoTime() - startNanos) / 1_000);
      }
    }
    byte[] encoded = SnapshotCodec.encode(state, SnapshotCodec.MAX_FILE_BYTES);
    long heapBefore = usedHeapBytes();
    long startNanos = System.nanoTime();
    StateRestore restore =
        StateRestore.evaluate(
            SnapshotCodec.decode(encoded),
            SyntheticStates.DEPLOYMENT,
            SyntheticStates.ROUTER,
            SystemClocks.unixMicros(),
            SystemClocks.monotonicMicros(),
            SystemClocks.bootId());
    double firstLoad = (System.nanoTime() - startNanos) / 1e6;
    startNanos = System.nanoTime();
    SnapshotCodec.decode(encoded);
    double load = (System.nanoTime() - startNanos) / 1e6;
    long heapBytes = usedHeapBytes() - heapBefore;
    StatementRouter<String> restoredRouter = createRouter(now);
    startNanos = System.nanoTime();
    restoredRouter.onListStarted();
    for (StoredEndpoint endpoint : state.endpoints()) {
      restoredRouter.onEndpointListed(
          now,
          endpoint.id(),
          EndpointLifecycle.READY,
          endpoint.state().group(),
          0,
          1,
          new Moment(endpoint.state().listedStartMicros()));
      EndpointState learned =
          restore.takeEndpoint(
              endpoint.id(), endpoint.address(), endpoint.state().listedStartMicros(), 2, true);
      if (learned == null) {
        throw new IllegalStateException("no state was restored for an endpoint of the snapshot");
      }
      restoredRouter.restore(now, endpoint.id(), learned);
    }
    restoredRouter.onListFinished(now, true, true);
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("nodes", endpointCount);
    figures.put("export_p50_us", exportMicros.getValueAtPercentile(50));
    figures.put("export_p99_us", exportMicros.getValueAtPercentile(99));
    figures.put("export_p999_us", exportMicros.getValueAtPercentile(99.9));
    figures.put("export_max_us", exportMicros.getMaxValue());
    figures.put("first_load_ms", firstLoad);
    figures.put("load_ms", load);
    figures.put("take_over_ms", (System.nanoTime() - startNanos) / 1e6);
    figures.put("bytes_a_node", (double) encoded.length / endpointCount);
    figures.put("heap_bytes_a_node", (double) heapBytes / endpointCount);
    FiguresWriter.publish(figures, figuresFile);
    return exportMicros.getValueAtPercentile(99.9) < 1_000 && load < 50 ? 0 : 1;
  }

  private StatementRouter<String> createRouter(Moment now) throws Exception {
    @SuppressWarnings("unchecked")
    Effects<String> noEffects =
        (Effects<String>)
            Proxy.newProxyInstance(
                getClass().getClassLoader(),
                new Class<?>[] {Effects.class},
                (proxy, method, arguments) -> null);
    return new StatementRouter<>(
        noEffects, StartFile.read(Path.of(startFile)).startValues().loadBalancerFactory(1, now));
  }

  private static long usedHeapBytes() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
