package basaltlever;

import static basaltlever.LoadBalancerHarness.check;
import static basaltlever.LoadBalancerHarness.ms;
import static basaltlever.LoopbackCluster.statement;

import basaltlever.LoopbackCluster.Client;
import basaltlever.LoopbackCluster.ResponseMode;
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
  private static LearnedState view(long writtenAt) {
    LearnedState view = LearnedStateFixtures.createLearnedState(1, 4);
    return new LearnedState(
        "fleet",
        "n3",
        0,
        writtenAt,
        SystemClocks.monotonicMicros(),
        SystemClocks.bootId(),
        41,
        view.endpoints(),
        view.groups());
  }

  private static SnapshotWriter keeper(Path folder, SnapshotWriter.Source source) {
    return new SnapshotWriter(
        folder, "fleet", "n3", ms(100), 1 << 20, new SplittableRandom(3), source);
  }

  private static void clear(Path folder) throws IOException {
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

  private interface Truth {
    boolean holds() throws Exception;
  }

  private static void await(String what, Truth truth) throws Exception {
    for (int i = 0; i < 300 && !truth.holds(); i++) {
      Thread.sleep(20);
    }
    check(truth.holds(), what);
  }

  @Example
  void aViewComesBackAndOnlyTwoGenerationsStay() throws Exception {
    Path folder = Files.createTempDirectory("view");
    try {
      AtomicInteger asked = new AtomicInteger();
      SnapshotWriter snapshotWriter =
          keeper(
              folder,
              () -> {
                asked.incrementAndGet();
                return view(SystemClocks.unixMicros());
              });
      check(snapshotWriter.awaitRestore() == StateRestore.NOTHING, "none at first");
      snapshotWriter.startWriting();
      await("it writes each period", () -> asked.get() > 4);
      SnapshotWriter second = keeper(folder, () -> view(SystemClocks.unixMicros()));
      check(second.awaitRestore() == StateRestore.NOTHING, "held by another: left alone");
      second.close(view(SystemClocks.unixMicros()));
      second.awaitClosed();
      snapshotWriter.close(view(SystemClocks.unixMicros()));
      snapshotWriter.awaitClosed();
      check(SnapshotStore.names(new LockedDirectory(folder)).size() == 2, "two generations");
      SnapshotWriter next = keeper(folder, () -> null);
      StateRestore restore = next.awaitRestore();
      check(restore.rejection().isEmpty() && restore.pendingCount() == 4, "recalled");
      next.close(null);
      next.awaitClosed();
    } finally {
      clear(folder);
    }
  }

  @Example
  void aFaultyFolderCostsNothingAndIsTakenAgainWhenItIsBack() throws Exception {
    Path folder = Files.createTempDirectory("view").resolve("mount");
    SnapshotWriter snapshotWriter = keeper(folder, () -> view(SystemClocks.unixMicros()));
    check(snapshotWriter.awaitRestore() == StateRestore.NOTHING, "no folder, no view");
    snapshotWriter.startWriting();
    Thread.sleep(300);
    Files.createDirectory(folder);
    await("kept once it is there", () -> newest(folder) != null);
    clear(folder);
    Thread.sleep(300);
    Files.writeString(folder, "no folder");
    Thread.sleep(300);
    Files.delete(folder);
    Files.createDirectory(folder);
    await("kept again", () -> newest(folder) != null);
    byte[] bytes =
        Files.readAllBytes(folder.resolve(SnapshotStore.names(new LockedDirectory(folder)).get(0)));
    snapshotWriter.close(null);
    snapshotWriter.awaitClosed();
    bytes[60] ^= 4;
    Files.write(folder.resolve(SnapshotStore.fileName(900)), bytes);
    Files.write(folder.resolve("view-ffffffffffffffff.blv"), bytes);
    Files.createDirectory(folder.resolve(SnapshotStore.fileName(901)));
    SnapshotWriter next = keeper(folder, () -> null);
    check(
        next.awaitRestore().pendingCount() == 4,
        "past a broken one and a folder to the newest that is whole");
    next.close(view(SystemClocks.unixMicros()));
    next.awaitClosed();
    check(newest(folder).sequence() == 902, "numbers go on");
    clear(folder.getParent());
  }

  @Example
  void aStuckSourceOrDiskHoldsUpNeitherStartNorEnd() throws Exception {
    Path folder = Files.createTempDirectory("view");
    SnapshotWriter snapshotWriter =
        keeper(
            folder,
            () -> {
              Thread.sleep(60_000);
              return null;
            });
    snapshotWriter.awaitRestore();
    snapshotWriter.startWriting();
    Thread.sleep(200);
    long start = System.nanoTime();
    snapshotWriter.close(view(SystemClocks.unixMicros()));
    snapshotWriter.awaitClosed();
    check(System.nanoTime() - start < 1_500_000_000L, "bounded");
    clear(folder);
  }

  @Example
  void aReloadSwapsTheFolderAndAFaultyFileChangesNothing() throws Exception {
    Path folder = Files.createTempDirectory("view");
    Path a = Files.createDirectory(folder.resolve("a"));
    Path b = Files.createDirectory(folder.resolve("b"));
    Path ini =
        Files.writeString(
            folder.resolve("operator.ini"), "[state]\nfolder = " + a + "\nperiod_ms = 100\n");
    try (LoopbackCluster world = new LoopbackCluster(false)) {
      world.router.start(world.startFilePath, OperatorFile.read(ini));
      await("kept in a", () -> newest(a) != null);
      Files.writeString(ini, "[state]\nfolder = " + b + "\nperiod_ms = 1\n");
      world.router.reload();
      long before = newest(a).sequence();
      await("still in a", () -> newest(a).sequence() > before);
      check(newest(b) == null, "not yet in b");
      Files.writeString(ini, "[state]\nfolder = " + b + "\nperiod_ms = 100\n");
      world.router.reload();
      await("now in b", () -> newest(b) != null);
      long last = newest(a).sequence();
      Thread.sleep(300);
      check(newest(a).sequence() == last && new LockedDirectory(a).tryLock(), "a is let go");
    } finally {
      clear(folder);
    }
  }

  /** The list has 20 of 2,000: they are known again, and the rest is not kept for anybody. */
  @Example
  void aViewOfThousandsServesAShortListAndIsGone() {
    LearnedState view = LearnedStateFixtures.createLearnedState(9, 2_000);
    StateRestore restore =
        StateRestore.of(
            view, "fleet", "n3", view.writtenAtMicros() + 9, view.monotonicMicros() + 9, "boot");
    basaltlever.core.StatementRouter<String> core = LoopbackCluster.createStatementRouter();
    EndpointList list = new EndpointList(core, List.of(), (node, address) -> {});
    list.restoreFrom(restore, node -> {});
    StringBuilder members = new StringBuilder();
    for (KnownEndpoint known : view.endpoints().subList(0, 20)) {
      members
          .append(members.isEmpty() ? "" : ",")
          .append(
              "{\"instanceId\":\""
                  + known.id()
                  + "\",\"hostPort\":\""
                  + known.address()
                  + "\",\"lifecycle\":\"in_service\",\"startedAtMs\":"
                  + known.state().listedStartMicros() / 1_000
                  + "}");
    }
    try {
      list.takeUpdate(
          new Moment(view.writtenAtMicros()),
          EndpointList.parse(
              "{\"generation\":50,\"reset\":true," + "\"instances\":[" + members + "]}"),
          true);
    } catch (basaltlever.discovery.InvalidEndpointListException fault) {
      throw new AssertionError(fault);
    }
    check(core.endpointCount() == 20, "no node but the listed");
    check(restore.pendingCount() == 1_980, "and those were known again");
  }

  private static long broken(LoopbackCluster world) {
    return world.modesByStatement.values().stream()
        .flatMap(List::stream)
        .filter(ResponseMode.DISCONNECT::equals)
        .count();
  }

  /** The nodes' own record of what reached them judges, not the router. */
  @Example
  void aRouterThatComesBackSparesTheNodeThatWasFailing() throws Exception {
    Path folder = Files.createTempDirectory("view");
    try {
      int[] reached = new int[2];
      for (int with = 0; with < 2; with++) {
        try (LoopbackCluster world = new LoopbackCluster(false)) {
          world.servers.get(1).responseMode = ResponseMode.DISCONNECT;
          String ini = with == 0 ? "" : "[state]\nfolder = " + folder + "\nperiod_ms = 200\n";
          for (int life = 0; life < 2; life++) {
            basaltlever.net.Router router = life == 0 ? world.router : new basaltlever.net.Router();
            router.start(world.startFilePath, OperatorTest.file(ini));
            long before = broken(world);
            // At once, so that each replica gets some, and no more than one of them has room for.
            List<Client> clients = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
              clients.add(new Client(world.port).sendStartup());
              clients.get(i).readResponse();
            }
            for (int i = 0; i < 6; i++) {
              clients.get(i).sendQuery(statement("r" + life + i, "view", 900));
            }
            for (Client client : clients) {
              check(client.readResponse().startsWith("row:"), "served by another");
              client.close();
            }
            reached[with] = (int) (broken(world) - before);
            router.drain();
            router.awaitStop();
          }
        }
      }
      check(
          reached[0] > 0 && reached[1] == 0,
          "with a view " + reached[1] + ", without one " + reached[0]);
      List<KnownEndpoint> kept = newest(folder).endpoints();
      check(
          kept.size() == 3 && SnapshotCodec.write(newest(folder), 1 << 20).length < 1_500,
          "three nodes, small");
    } finally {
      clear(folder);
    }
  }

  private static void serves(LoopbackCluster world, String id) throws Exception {
    try (Client client = new Client(world.port).sendStartup()) {
      client.readResponse();
      long start = System.nanoTime();
      check(
          client.sendQuery(statement(id, "view", 1_500)).readResponse().equals("row:" + id),
          "served " + id);
      check(System.nanoTime() - start < 700_000_000L, "without waiting for the disk");
    }
  }

  /**
   * The kernel itself fails or holds up each write: the name of the file aside is a full device,
   * then a pipe.
   */
  @Example
  void aFullDiskAndOneThatHangsDisturbNothingThatIsServed() throws Exception {
    Path folder = Files.createTempDirectory("view");
    Path aside = folder.resolve("view.new");
    Files.createSymbolicLink(aside, Path.of("/dev/full"));
    try (LoopbackCluster world = new LoopbackCluster(false)) {
      world.router.start(
          world.startFilePath,
          OperatorTest.file("[state]\nfolder = " + folder + "\nperiod_ms = 100\n"));
      Thread.sleep(400);
      serves(world, "full");
      check(newest(folder) == null, "nothing is kept on a full disk");
      Files.delete(aside);
      await("kept once there is room", () -> newest(folder) != null);
      boolean piped = false;
      while (!piped) {
        // Between two writes, when the name is free.
        piped = new ProcessBuilder("mkfifo", aside.toString()).start().waitFor() == 0;
      }
      await(
          "the next write hangs",
          () -> {
            long before = newest(folder).sequence();
            Thread.sleep(300);
            return newest(folder).sequence() == before;
          });
      serves(world, "hangs");
      long start = System.nanoTime();
      world.router.drain();
      world.router.awaitStop();
      check(
          System.nanoTime() - start < 3_000_000_000L,
          "an end is not held up by more than its bound");
      try (var reader = Files.newInputStream(aside)) {
        check(reader.read() >= 0, "the writer was waiting on the pipe");
      }
    } finally {
      clear(folder);
    }
  }

  /**
   * Discovery says nothing yet: who was known is connected to and polled, and gets nothing until it
   * is listed.
   */
  @Example
  void whoWasKnownIsPolledBeforeAnyListAndSentNothing() throws Exception {
    Path folder = Files.createTempDirectory("view");
    OperatorFile operator =
        OperatorTest.file("[state]\nfolder = " + folder + "\nperiod_ms = 100\n");
    try (LoopbackCluster world = new LoopbackCluster(false)) {
      basaltlever.net.Router first = new basaltlever.net.Router();
      first.start(world.startFilePath, operator);
      await("kept", () -> newest(folder) != null && newest(folder).endpoints().size() == 3);
      first.drain();
      first.awaitStop();
      String start = Files.readString(world.startFilePath).replaceAll("(?s)\"known\":.*?]\\},", "");
      check(!start.contains("known"), "no list at start");
      Files.writeString(world.startFilePath, start);
      world.rejectsDiscoveryCalls = true;
      int connections = world.servers.get(0).openSockets.size();
      world.router.start(world.startFilePath, operator);
      check(
          world.servers.get(0).openSockets.size() > connections,
          "connected to before it is listed");
      try (Client client = new Client(world.port).sendStartup()) {
        client.readResponse();
        check(
            client
                .sendQuery(statement("early", "post", 400))
                .readResponse()
                .startsWith("error:53300"),
            "held, not sent");
        world.rejectsDiscoveryCalls = false;
        long back = System.nanoTime();
        String answer = "";
        for (int i = 0;
            !answer.startsWith("row:") && System.nanoTime() - back < 2_500_000_000L;
            i++) {
          answer = client.sendQuery(statement("f" + i, "view", 1_900)).readResponse();
        }
        check(answer.startsWith("row:"), "served once listed, a pause of 1.5 s later at most");
      }
      check(
          !world.modesByStatement.containsKey("early"),
          "nothing went to a node on the word of a file");
    } finally {
      clear(folder);
    }
  }
}
