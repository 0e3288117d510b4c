package basaltlever;

import static basaltlever.SocketWorld.statement;
import static basaltlever.StandIn.check;
import static basaltlever.StandIn.ms;

import basaltlever.SocketWorld.Client;
import basaltlever.SocketWorld.Mode;
import basaltlever.config.OperatorFile;
import basaltlever.discovery.EndpointList;
import basaltlever.snapshot.KnownEndpoint;
import basaltlever.snapshot.LearnedState;
import basaltlever.snapshot.StateRestore;
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

/** A folder of the file system, with its keeper and with a whole router. */
class SnapshotWriterTest {
  private static LearnedState snapshot(long writtenAt) {
    LearnedState example = KeptViews.view(1, 4);
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
    return new SnapshotStore(new LockedDirectory(folder)).newest().state();
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
      check(snapshotWriter.awaitRestore() == StateRestore.NOTHING, "none at first");
      snapshotWriter.startWriting();
      awaitCondition("it writes each period", () -> snapshotRequests.get() > 4);
      SnapshotWriter competing = createWriter(folder, () -> snapshot(SystemClocks.unixMicros()));
      check(competing.awaitRestore() == StateRestore.NOTHING, "held by another: left alone");
      competing.close(snapshot(SystemClocks.unixMicros()));
      competing.awaitClosed();
      snapshotWriter.close(snapshot(SystemClocks.unixMicros()));
      snapshotWriter.awaitClosed();
      check(SnapshotStore.names(new LockedDirectory(folder)).size() == 2, "two generations");
      SnapshotWriter next = createWriter(folder, () -> null);
      StateRestore restore = next.awaitRestore();
      check(restore.rejection().isEmpty() && restore.pendingCount() == 4, "recalled");
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
    check(snapshotWriter.awaitRestore() == StateRestore.NOTHING, "no folder, no view");
    snapshotWriter.startWriting();
    Thread.sleep(300);
    Files.createDirectory(folder);
    awaitCondition("kept once it is there", () -> newest(folder) != null);
    deleteRecursively(folder);
    Thread.sleep(300);
    Files.writeString(folder, "no folder");
    Thread.sleep(300);
    Files.delete(folder);
    Files.createDirectory(folder);
    awaitCondition("kept again", () -> newest(folder) != null);
    byte[] bytes =
        Files.readAllBytes(folder.resolve(SnapshotStore.names(new LockedDirectory(folder)).get(0)));
    snapshotWriter.close(null);
    snapshotWriter.awaitClosed();
    bytes[60] ^= 4;
    Files.write(folder.resolve(SnapshotStore.fileName(900)), bytes);
    Files.write(folder.resolve("view-ffffffffffffffff.blv"), bytes);
    Files.createDirectory(folder.resolve(SnapshotStore.fileName(901)));
    SnapshotWriter next = createWriter(folder, () -> null);
    check(
        next.awaitRestore().pendingCount() == 4,
        "past a broken one and a folder to the newest that is whole");
    next.close(snapshot(SystemClocks.unixMicros()));
    next.awaitClosed();
    check(newest(folder).sequence() == 902, "numbers go on");
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
    check(System.nanoTime() - start < 1_500_000_000L, "bounded");
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
    try (SocketWorld world = new SocketWorld(false)) {
      world.router.start(world.file, OperatorFile.read(ini));
      awaitCondition("kept in a", () -> newest(a) != null);
      Files.writeString(ini, "[state]\nfolder = " + b + "\nperiod_ms = 1\n");
      world.router.reload();
      long before = newest(a).sequence();
      awaitCondition("still in a", () -> newest(a).sequence() > before);
      check(newest(b) == null, "not yet in b");
      Files.writeString(ini, "[state]\nfolder = " + b + "\nperiod_ms = 100\n");
      world.router.reload();
      awaitCondition("now in b", () -> newest(b) != null);
      long last = newest(a).sequence();
      Thread.sleep(300);
      check(newest(a).sequence() == last && new LockedDirectory(a).tryLock(), "a is let go");
    } finally {
      deleteRecursively(folder);
    }
  }

  /** The list has 20 of 2,000: they are known again, and the rest is not kept for anybody. */
  @Example
  void shortListRestoresOnlyItsEndpointsFromALargeSnapshot() {
    LearnedState snapshot = KeptViews.view(9, 2_000);
    StateRestore restore =
        StateRestore.of(
            snapshot,
            "fleet",
            "n3",
            snapshot.writtenAtMicros() + 9,
            snapshot.monotonicMicros() + 9,
            "boot");
    basaltlever.core.StatementRouter<String> core = SocketWorld.core();
    EndpointList list = new EndpointList(core, List.of(), (endpoint, address) -> {});
    list.restoreFrom(restore, endpoint -> {});
    StringBuilder instances = new StringBuilder();
    for (KnownEndpoint endpoint : snapshot.endpoints().subList(0, 20)) {
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
      list.takeUpdate(
          new Moment(snapshot.writtenAtMicros()),
          EndpointList.parse(
              "{\"generation\":50,\"reset\":true," + "\"instances\":[" + instances + "]}"),
          true);
    } catch (basaltlever.discovery.InvalidEndpointListException exception) {
      throw new AssertionError(exception);
    }
    check(core.endpointCount() == 20, "no node but the listed");
    check(restore.pendingCount() == 1_980, "and those were known again");
  }

  private static long countBrokenStatements(SocketWorld world) {
    return world.ran.values().stream().flatMap(List::stream).filter(Mode.BREAKS::equals).count();
  }

  /** The nodes' own record of what reached them judges, not the router. */
  @Example
  void restartedRouterAvoidsTheEndpointThatWasFailing() throws Exception {
    Path folder = Files.createTempDirectory("view");
    try {
      int[] reached = new int[2];
      for (int withSnapshot = 0; withSnapshot < 2; withSnapshot++) {
        try (SocketWorld world = new SocketWorld(false)) {
          world.nodes.get(1).mode = Mode.BREAKS;
          String ini =
              withSnapshot == 0 ? "" : "[state]\nfolder = " + folder + "\nperiod_ms = 200\n";
          for (int run = 0; run < 2; run++) {
            basaltlever.net.Router router = run == 0 ? world.router : new basaltlever.net.Router();
            router.start(world.file, OperatorTest.readOperatorFile(ini));
            long before = countBrokenStatements(world);
            // At once, so that each replica gets some, and no more than one of them has room for.
            List<Client> clients = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
              clients.add(new Client(world.port).start());
              clients.get(i).answer();
            }
            for (int i = 0; i < 6; i++) {
              clients.get(i).ask(statement("r" + run + i, "view", 900));
            }
            for (Client client : clients) {
              check(client.answer().startsWith("row:"), "served by another");
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
          "with a view " + reached[1] + ", without one " + reached[0]);
      List<KnownEndpoint> stored = newest(folder).endpoints();
      check(
          stored.size() == 3 && SnapshotCodec.write(newest(folder), 1 << 20).length < 1_500,
          "three nodes, small");
    } finally {
      deleteRecursively(folder);
    }
  }

  private static void checkServedPromptly(SocketWorld world, String id) throws Exception {
    try (Client client = new Client(world.port).start()) {
      client.answer();
      long start = System.nanoTime();
      check(client.ask(statement(id, "view", 1_500)).answer().equals("row:" + id), "served " + id);
      check(System.nanoTime() - start < 700_000_000L, "without waiting for the disk");
    }
  }

  /**
   * The kernel itself fails or holds up each write: the name of the file aside is a full device,
   * then a pipe.
   */
  @Example
  void fullOrHangingDiskDoesNotDelayStatements() throws Exception {
    Path folder = Files.createTempDirectory("view");
    Path temporaryFile = folder.resolve("view.new");
    Files.createSymbolicLink(temporaryFile, Path.of("/dev/full"));
    try (SocketWorld world = new SocketWorld(false)) {
      world.router.start(
          world.file,
          OperatorTest.readOperatorFile("[state]\nfolder = " + folder + "\nperiod_ms = 100\n"));
      Thread.sleep(400);
      checkServedPromptly(world, "full");
      check(newest(folder) == null, "nothing is kept on a full disk");
      Files.delete(temporaryFile);
      awaitCondition("kept once there is room", () -> newest(folder) != null);
      boolean piped = false;
      while (!piped) {
        // Between two writes, when the name is free.
        piped = new ProcessBuilder("mkfifo", temporaryFile.toString()).start().waitFor() == 0;
      }
      awaitCondition(
          "the next write hangs",
          () -> {
            long before = newest(folder).sequence();
            Thread.sleep(300);
            return newest(folder).sequence() == before;
          });
      checkServedPromptly(world, "hangs");
      long start = System.nanoTime();
      world.router.drain();
      world.router.awaitStop();
      check(
          System.nanoTime() - start < 3_000_000_000L,
          "an end is not held up by more than its bound");
      try (var reader = Files.newInputStream(temporaryFile)) {
        check(reader.read() >= 0, "the writer was waiting on the pipe");
      }
    } finally {
      deleteRecursively(folder);
    }
  }

  /**
   * Discovery says nothing yet: who was known is connected to and polled, and gets nothing until it
   * is listed.
   */
  @Example
  void restoredEndpointsArePolledButSentNothingBeforeTheFirstList() throws Exception {
    Path folder = Files.createTempDirectory("view");
    OperatorFile operator =
        OperatorTest.readOperatorFile("[state]\nfolder = " + folder + "\nperiod_ms = 100\n");
    try (SocketWorld world = new SocketWorld(false)) {
      basaltlever.net.Router first = new basaltlever.net.Router();
      first.start(world.file, operator);
      awaitCondition(
          "kept", () -> newest(folder) != null && newest(folder).endpoints().size() == 3);
      first.drain();
      first.awaitStop();
      String start = Files.readString(world.file).replaceAll("(?s)\"known\":.*?]\\},", "");
      check(!start.contains("known"), "no list at start");
      Files.writeString(world.file, start);
      world.refusesCalls = true;
      int connections = world.nodes.get(0).open.size();
      world.router.start(world.file, operator);
      check(world.nodes.get(0).open.size() > connections, "connected to before it is listed");
      try (Client client = new Client(world.port).start()) {
        client.answer();
        check(
            client.ask(statement("early", "post", 400)).answer().startsWith("error:53300"),
            "held, not sent");
        world.refusesCalls = false;
        long restoredAt = System.nanoTime();
        String answer = "";
        for (int i = 0;
            !answer.startsWith("row:") && System.nanoTime() - restoredAt < 2_500_000_000L;
            i++) {
          answer = client.ask(statement("f" + i, "view", 1_900)).answer();
        }
        check(answer.startsWith("row:"), "served once listed, a pause of 1.5 s later at most");
      }
      check(!world.ran.containsKey("early"), "nothing went to a node on the word of a file");
    } finally {
      deleteRecursively(folder);
    }
  }
}
