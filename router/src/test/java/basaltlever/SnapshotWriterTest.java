package basaltlever;

import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoadBalancerHarness.ms;
import static basaltlever.LoopbackCluster.statement;

import basaltlever.LoopbackCluster.Client;
import basaltlever.LoopbackCluster.ResponseMode;
import basaltlever.config.OperatorFile;
import basaltlever.discovery.EndpointList;
import basaltlever.snapshot.LearnedState;
import basaltlever.snapshot.StateRestore;
import basaltlever.snapshot.StoredEndpoint;
import basaltlever.storage.LockedDirectory;
import basaltlever.storage.SnapshotCodec;
import basaltlever.storage.SnapshotStore;
import basaltlever.storage.SnapshotWriter;
import basaltlever.storage.SystemClocks;
import basaltlever.time.Moment;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import net.jqwik.api.Example;

/** Tests the snapshot writer on a real directory, alone and with a complete router. */
class SnapshotWriterTest {
  private static LearnedState snapshot(long writtenAt) {
    LearnedState example = LearnedStateFixtures.createLearnedState(1, 4);
    return new LearnedState(
        "fleet",
        "n3",
        0,
        writtenAt,
        SystemClocks.monotonicMicros(),
        SystemClocks.bootId(),
        41,
        example.endpoints(),
        example.groups());
  }

  private static SnapshotWriter createWriter(Path folder, SnapshotWriter.Source source) {
    return new SnapshotWriter(
        folder, "fleet", "n3", ms(100), 1 << 20, new SplittableRandom(3), source);
  }

  private static void deleteRecursively(Path folder) throws IOException {
    if (Files.exists(folder)) {
      try (Stream<Path> files = Files.walk(folder)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(file);
        }
      }
    }
  }

  private static LearnedState newest(Path folder) throws IOException {
    return new SnapshotStore(new LockedDirectory(folder)).loadNewest().state();
  }

  private interface Condition {
    boolean isMet() throws Exception;
  }

  private static void awaitCondition(String expectation, Condition condition) throws Exception {
    for (int i = 0; i < 300 && !condition.isMet(); i++) {
      Thread.sleep(20);
    }
    check(condition.isMet(), expectation);
  }

  @Example
  void snapshotIsRestoredAndOnlyTwoGenerationsRemain() throws Exception {
    Path folder = Files.createTempDirectory("view");
    try {
      AtomicInteger snapshotRequests = new AtomicInteger();
      SnapshotWriter snapshotWriter =
          createWriter(
              folder,
              () -> {
                snapshotRequests.incrementAndGet();
                return snapshot(SystemClocks.unixMicros());
              });
      check(snapshotWriter.awaitRestore() == StateRestore.EMPTY, "no snapshot exists at first");
      snapshotWriter.startWriting();
      awaitCondition("a snapshot is written each period", () -> snapshotRequests.get() > 4);
      SnapshotWriter competing = createWriter(folder, () -> snapshot(SystemClocks.unixMicros()));
      check(
          competing.awaitRestore() == StateRestore.EMPTY,
          "a directory locked by another writer is not used");
      competing.close(snapshot(SystemClocks.unixMicros()));
      competing.awaitClosed();
      snapshotWriter.close(snapshot(SystemClocks.unixMicros()));
      snapshotWriter.awaitClosed();
      check(
          SnapshotStore.listFileNames(new LockedDirectory(folder)).size() == 2,
          "two generations remain");
      SnapshotWriter next = createWriter(folder, () -> null);
      StateRestore restore = next.awaitRestore();
      check(
          restore.rejection().isEmpty() && restore.pendingEndpointCount() == 4,
          "all four endpoints are restored");
      next.close(null);
      next.awaitClosed();
    } finally {
      deleteRecursively(folder);
    }
  }

  @Example
  void writerResumesWhenAMissingDirectoryReturns() throws Exception {
    Path folder = Files.createTempDirectory("view").resolve("mount");
    SnapshotWriter snapshotWriter = createWriter(folder, () -> snapshot(SystemClocks.unixMicros()));
    check(
        snapshotWriter.awaitRestore() == StateRestore.EMPTY,
        "a missing directory yields no snapshot");
    snapshotWriter.startWriting();
    Thread.sleep(300);
    Files.createDirectory(folder);
    awaitCondition("expected a snapshot once the directory exists", () -> newest(folder) != null);
    deleteRecursively(folder);
    Thread.sleep(300);
    Files.writeString(folder, "no folder");
    Thread.sleep(300);
    Files.delete(folder);
    Files.createDirectory(folder);
    awaitCondition(
        "expected a snapshot after the directory returned", () -> newest(folder) != null);
    byte[] bytes =
        Files.readAllBytes(
            folder.resolve(SnapshotStore.listFileNames(new LockedDirectory(folder)).get(0)));
    snapshotWriter.close(null);
    snapshotWriter.awaitClosed();
    bytes[60] ^= 4;
    Files.write(folder.resolve(SnapshotStore.fileName(900)), bytes);
    Files.write(folder.resolve("view-ffffffffffffffff.blv"), bytes);
    Files.createDirectory(folder.resolve(SnapshotStore.fileName(901)));
    SnapshotWriter next = createWriter(folder, () -> null);
    check(
        next.awaitRestore().pendingEndpointCount() == 4,
        "a corrupt file and a directory are skipped for the newest valid snapshot");
    next.close(snapshot(SystemClocks.unixMicros()));
    next.awaitClosed();
    check(newest(folder).sequence() == 902, "the sequence continues after the highest file name");
    deleteRecursively(folder.getParent());
  }

  @Example
  void blockedSourceDelaysNeitherStartNorClose() throws Exception {
    Path folder = Files.createTempDirectory("view");
    SnapshotWriter snapshotWriter =
        createWriter(
            folder,
            () -> {
              Thread.sleep(60_000);
              return null;
            });
    snapshotWriter.awaitRestore();
    snapshotWriter.startWriting();
    Thread.sleep(200);
    long start = System.nanoTime();
    snapshotWriter.close(snapshot(SystemClocks.unixMicros()));
    snapshotWriter.awaitClosed();
    check(System.nanoTime() - start < 1_500_000_000L, "the close is bounded in time");
    deleteRecursively(folder);
  }

  @Example
  void reloadChangesTheDirectoryAndIgnoresAnInvalidFile() throws Exception {
    Path folder = Files.createTempDirectory("view");
    Path a = Files.createDirectory(folder.resolve("a"));
    Path b = Files.createDirectory(folder.resolve("b"));
    Path ini =
        Files.writeString(
            folder.resolve("operator.ini"), "[state]\nfolder = " + a + "\nperiod_ms = 100\n");
    try (LoopbackCluster world = new LoopbackCluster(false)) {
      world.router.start(world.startFilePath, OperatorFile.read(ini));
      awaitCondition("expected a snapshot in a", () -> newest(a) != null);
      Files.writeString(ini, "[state]\nfolder = " + b + "\nperiod_ms = 1\n");
      world.router.reload();
      long before = newest(a).sequence();
      awaitCondition("expected further snapshots in a", () -> newest(a).sequence() > before);
      check(newest(b) == null, "no snapshot in b after an invalid file");
      Files.writeString(ini, "[state]\nfolder = " + b + "\nperiod_ms = 100\n");
      world.router.reload();
      awaitCondition("expected a snapshot in b", () -> newest(b) != null);
      long last = newest(a).sequence();
      Thread.sleep(300);
      check(
          newest(a).sequence() == last && new LockedDirectory(a).tryLock(),
          "the writer has stopped in a and released its lock");
    } finally {
      deleteRecursively(folder);
    }
  }

  /**
   * The list has 20 of the 2,000 stored endpoints: only these are restored, and no state is created
   * for the others.
   */
  @Example
  void shortListRestoresOnlyItsEndpointsFromALargeSnapshot() {
    LearnedState snapshot = LearnedStateFixtures.createLearnedState(9, 2_000);
    StateRestore restore =
        StateRestore.evaluate(
            snapshot,
            "fleet",
            "n3",
            snapshot.writtenAtMicros() + 9,
            snapshot.monotonicMicros() + 9,
            "boot");
    basaltlever.core.StatementRouter<String> core = LoopbackCluster.createStatementRouter();
    EndpointList list = new EndpointList(core, List.of(), (endpoint, address) -> {});
    list.restoreFrom(restore, endpoint -> {});
    StringBuilder instances = new StringBuilder();
    for (StoredEndpoint endpoint : snapshot.endpoints().subList(0, 20)) {
      instances
          .append(instances.isEmpty() ? "" : ",")
          .append(
              "{\"instanceId\":\""
                  + endpoint.id()
                  + "\",\"hostPort\":\""
                  + endpoint.address()
                  + "\",\"lifecycle\":\"in_service\",\"startedAtMs\":"
                  + endpoint.state().listedStartMicros() / 1_000
                  + "}");
    }
    try {
      list.applyUpdate(
          new Moment(snapshot.writtenAtMicros()),
          EndpointList.parse(
              "{\"generation\":50,\"reset\":true," + "\"instances\":[" + instances + "]}"),
          true);
    } catch (basaltlever.discovery.InvalidEndpointListException exception) {
      throw new AssertionError(exception);
    }
    check(core.endpointCount() == 20, "only the listed endpoints exist");
    check(restore.pendingEndpointCount() == 1_980, "the listed endpoints are restored");
  }

  private static long countBrokenStatements(LoopbackCluster world) {
    return world.modesByStatement.values().stream()
        .flatMap(List::stream)
        .filter(ResponseMode.DISCONNECT::equals)
        .count();
  }

  /** The result is judged by the statements that the servers recorded, not by the router. */
  @Example
  void restartedRouterAvoidsTheEndpointThatWasFailing() throws Exception {
    Path folder = Files.createTempDirectory("view");
    try {
      int[] reached = new int[2];
      for (int withSnapshot = 0; withSnapshot < 2; withSnapshot++) {
        try (LoopbackCluster world = new LoopbackCluster(false)) {
          world.servers.get(1).responseMode = ResponseMode.DISCONNECT;
          String ini =
              withSnapshot == 0 ? "" : "[state]\nfolder = " + folder + "\nperiod_ms = 200\n";
          for (int run = 0; run < 2; run++) {
            basaltlever.net.Router router = run == 0 ? world.router : new basaltlever.net.Router();
            router.start(world.startFilePath, OperatorTest.readOperatorFile(ini));
            long before = countBrokenStatements(world);
            // Sent concurrently, so that each replica gets some: one replica has no room for all.
            List<Client> clients = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
              clients.add(new Client(world.port).sendStartup());
              clients.get(i).readResponse();
            }
            for (int i = 0; i < 6; i++) {
              clients.get(i).sendQuery(statement("r" + run + i, "view", 900));
            }
            for (Client client : clients) {
              check(
                  client.readResponse().startsWith("row:"),
                  "the statement is served by another endpoint");
              client.close();
            }
            reached[withSnapshot] = (int) (countBrokenStatements(world) - before);
            router.drain();
            router.awaitStop();
          }
        }
      }
      check(
          reached[0] > 0 && reached[1] == 0,
          "expected failed attempts only without a snapshot; with: "
              + reached[1]
              + ", without: "
              + reached[0]);
      List<StoredEndpoint> stored = newest(folder).endpoints();
      check(
          stored.size() == 3 && SnapshotCodec.encode(newest(folder), 1 << 20).length < 1_500,
          "the snapshot holds three endpoints and is small");
    } finally {
      deleteRecursively(folder);
    }
  }

  private static void checkServedPromptly(LoopbackCluster world, String id) throws Exception {
    try (Client client = new Client(world.port).sendStartup()) {
      client.readResponse();
      long start = System.nanoTime();
      check(
          client.sendQuery(statement(id, "view", 1_500)).readResponse().equals("row:" + id),
          "expected a row for " + id);
      check(System.nanoTime() - start < 700_000_000L, "the answer does not wait for the disk");
    }
  }

  /**
   * The kernel fails or blocks each write: the temporary file is a link to a full device, then a
   * named pipe without a reader.
   */
  @Example
  void fullOrHangingDiskDoesNotDelayStatements() throws Exception {
    Path folder = Files.createTempDirectory("view");
    Path temporaryFile = folder.resolve("view.new");
    Files.createSymbolicLink(temporaryFile, Path.of("/dev/full"));
    try (LoopbackCluster world = new LoopbackCluster(false)) {
      world.router.start(
          world.startFilePath,
          OperatorTest.readOperatorFile("[state]\nfolder = " + folder + "\nperiod_ms = 100\n"));
      Thread.sleep(400);
      checkServedPromptly(world, "full");
      check(newest(folder) == null, "no snapshot is stored on a full disk");
      Files.delete(temporaryFile);
      awaitCondition("expected a snapshot once there is space", () -> newest(folder) != null);
      boolean piped = false;
      while (!piped) {
        // Succeeds between two writes, when the file name is free.
        piped = new ProcessBuilder("mkfifo", temporaryFile.toString()).start().waitFor() == 0;
      }
      awaitCondition(
          "expected the next write to hang",
          () -> {
            long before = newest(folder).sequence();
            Thread.sleep(300);
            return newest(folder).sequence() == before;
          });
      checkServedPromptly(world, "hangs");
      long start = System.nanoTime();
      world.router.drain();
      world.router.awaitStop();
      check(System.nanoTime() - start < 3_000_000_000L, "the stop is bounded in time");
      try (var reader = Files.newInputStream(temporaryFile)) {
        check(reader.read() >= 0, "the writer was blocked on the pipe");
      }
    } finally {
      deleteRecursively(folder);
    }
  }

  /**
   * While discovery refuses requests, restored endpoints are connected to and polled, but get no
   * statements until they are listed.
   */
  @Example
  void restoredEndpointsArePolledButSentNothingBeforeTheFirstList() throws Exception {
    Path folder = Files.createTempDirectory("view");
    OperatorFile operator =
        OperatorTest.readOperatorFile("[state]\nfolder = " + folder + "\nperiod_ms = 100\n");
    try (LoopbackCluster world = new LoopbackCluster(false)) {
      basaltlever.net.Router first = new basaltlever.net.Router();
      first.start(world.startFilePath, operator);
      awaitCondition(
          "expected a snapshot of three endpoints",
          () -> newest(folder) != null && newest(folder).endpoints().size() == 3);
      first.drain();
      first.awaitStop();
      String start = Files.readString(world.startFilePath).replaceAll("(?s)\"known\":.*?]\\},", "");
      check(!start.contains("known"), "the start file has no endpoint list");
      Files.writeString(world.startFilePath, start);
      world.rejectsDiscoveryCalls = true;
      int connections = world.servers.get(0).openSockets.size();
      world.router.start(world.startFilePath, operator);
      check(
          world.servers.get(0).openSockets.size() > connections,
          "the endpoint is connected to before it is listed");
      try (Client client = new Client(world.port).sendStartup()) {
        client.readResponse();
        check(
            client
                .sendQuery(statement("early", "post", 400))
                .readResponse()
                .startsWith("error:53300"),
            "the write is held and not sent");
        world.rejectsDiscoveryCalls = false;
        long restoredAt = System.nanoTime();
        String answer = "";
        for (int i = 0;
            !answer.startsWith("row:") && System.nanoTime() - restoredAt < 2_500_000_000L;
            i++) {
          answer = client.sendQuery(statement("f" + i, "view", 1_900)).readResponse();
        }
        check(
            answer.startsWith("row:"),
            "expected an answer once listed, after a retry delay of at most 1.5 s");
      }
      check(
          !world.modesByStatement.containsKey("early"),
          "no statement is sent on the basis of a restored state");
    } finally {
      deleteRecursively(folder);
    }
  }
}
