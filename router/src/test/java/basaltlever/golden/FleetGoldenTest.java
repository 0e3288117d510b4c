package basaltlever.golden;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.cli.Main;
import basaltlever.config.FleetSettings;
import basaltlever.fleet.FleetMember;
import basaltlever.fleet.VoterStore;
import basaltlever.membership.GroupAssignment;
import basaltlever.membership.HeartbeatReport;
import basaltlever.membership.ListAnomaly;
import basaltlever.membership.ListVersion;
import basaltlever.settings.LeaseGrant;
import basaltlever.time.Span;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import org.jgroups.protocols.raft.FileBasedLog;

/**
 * What instances of an earlier release said to each other and kept: each side of this release hears
 * the recorded bytes and answers in the same form, the voters' log holds the same commands, and a
 * folder of theirs is read.
 */
class FleetGoldenTest {
  private static final int PATIENCE_MS = 20_000;
  private static final String NAME = "n1";
  private static final int BEATS = 40;
  private static final int BEAT_MS = 100;

  /** By the generation that both routers report: what status says once it has been acted on. */
  private static final Map<Long, String> EXPECTED =
      Map.of(41L, "\"seats\":1", 42L, "\"seats\":3", 7L, "\"era\":1");

  private static InetSocketAddress free() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
    }
  }

  private static FleetSettings terms(Path folder, InetSocketAddress voter, InetSocketAddress peer)
      throws IOException {
    return new FleetSettings(
        "cards",
        Map.of(NAME, peer, "n2", free()),
        Map.of(NAME, voter),
        folder,
        Span.ofMillis(400),
        Span.ofMillis(1_000),
        Span.ofMillis(3_000));
  }

  /** An instance whose router reports what it is given and takes whatever it is granted. */
  private static FleetMember instance(
      FleetSettings fleetSettings,
      String name,
      VoterStore voterStore,
      BlockingQueue<LeaseGrant> grants,
      Supplier<HeartbeatReport> reports)
      throws Exception {
    AtomicLong beats = new AtomicLong();
    AtomicReference<FleetMember> fleet = new AtomicReference<>();
    AtomicReference<LeaseGrant> latest = new AtomicReference<>();
    fleet.set(
        new FleetMember(
            fleetSettings,
            name,
            voterStore,
            new SplittableRandom(1),
            () -> {
              if (fleet.get() != null) {
                HeartbeatReport report = reports.get();
                LeaseGrant last = latest.get();
                long force = last == null ? 0 : last.inForce().number();
                long keeps =
                    last == null || last.prepared() == null ? force : last.prepared().number();
                fleet
                    .get()
                    .sendHeartbeat(beats.incrementAndGet(), 0, force, keeps, 0, "", true, report);
              }
            },
            (grant, update) -> {
              latest.set(grant);
              grants.add(grant);
            }));
    return fleet.get();
  }

  private static byte[] exchange(InetSocketAddress at, byte[] message) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(at, PATIENCE_MS);
      socket.setSoTimeout(PATIENCE_MS);
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.writeInt(message.length);
      out.write(message);
      out.flush();
      return frame(socket);
    }
  }

  private static byte[] frame(Socket socket) throws IOException {
    DataInputStream in = new DataInputStream(socket.getInputStream());
    byte[] answer = new byte[in.readInt()];
    in.readFully(answer);
    return answer;
  }

  /** Lines of a name and the bytes of a request, in the order in which they were sent. */
  private static List<String[]> requests() throws IOException {
    return Golden.text("fleet-requests.txt").lines().map(line -> line.split(" ")).toList();
  }

  /**
   * What the router of the voter itself says of a list, so that both routers of the fleet say the
   * same.
   */
  private static HeartbeatReport report(long generation) {
    ListVersion at = new ListVersion(0, generation);
    GroupAssignment assignment = new GroupAssignment("db-1", generation == 41 ? 0 : 1, at, false);
    List<String> free = generation == 41 ? List.of() : List.of("db-1");
    ListAnomaly anomaly = generation < 41 ? ListAnomaly.BACK : ListAnomaly.NONE;
    return new HeartbeatReport(at, 99, anomaly, List.of(), 0, List.of(assignment), free, 0, 0, 0);
  }

  private static void leads(BlockingQueue<LeaseGrant> grants) throws InterruptedException {
    LeaseGrant grant = grants.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
    while (grant != null && grant.duration().micros() <= 0) {
      grant = grants.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
    }
    check(grant != null, "it leads itself");
  }

  /** The lines of status that tell what was agreed, once nothing is on its way any more. */
  private static String settled(InetSocketAddress at, byte[] status, String contains)
      throws IOException, InterruptedException {
    String told = "";
    for (long since = System.nanoTime();
        (System.nanoTime() - since) / 1_000_000 < PATIENCE_MS;
        Thread.sleep(50)) {
      told = Golden.json(exchange(at, status));
      if (told.contains("\"prepared\":null") && told.contains(contains)) {
        return told;
      }
    }
    throw new AssertionError("never settled: " + told);
  }

  @Example
  void aVoterAnswersRecordedRequestsAndLogsTheSameCommands() throws Exception {
    Path folder = Files.createTempDirectory("golden");
    InetSocketAddress peer = free();
    FleetSettings fleetSettings = terms(folder, free(), peer);
    BlockingQueue<LeaseGrant> grants = new LinkedBlockingQueue<>();
    StringBuilder answers = new StringBuilder();
    AtomicReference<HeartbeatReport> list = new AtomicReference<>(HeartbeatReport.NONE);
    try (FleetMember voter =
        instance(fleetSettings, NAME, VoterStore.read(folder, "cards", NAME), grants, list::get)) {
      check(voter != null, "started");
      leads(grants);
      byte[] status = HexFormat.of().parseHex(requests().get(0)[1]);
      for (String[] request : requests()) {
        if (request[0].startsWith("heartbeat")) {
          continue;
        }
        byte[] answer = exchange(peer, HexFormat.of().parseHex(request[1]));
        answers.append(request[0]).append(' ').append(Golden.json(answer)).append('\n');
        settled(peer, status, "");
      }
      Path operator = operatorFile(folder, fleetSettings);
      for (List<String> command :
          List.of(
              List.of("settings", "status", "--json"),
              List.of("settings", "history", "--json"),
              List.of("settings", "history"),
              List.of("settings", "diff", "1", "2", "--json"),
              List.of("fleet", "status", "--json"),
              List.of("fleet", "voters", "--json"))) {
        List<String> line =
            Stream.concat(command.stream(), Stream.of("--operator", operator.toString())).toList();
        answers.append(command).append(' ').append(Golden.lines(Commands.run(Main.class, line)));
      }
      reportLists(peer, status, list);
      settled(peer, status, "\"number\":4,");
    }
    Golden.check("fleet-answers.txt", answers.toString());
    Golden.check("fleet-commands.txt", String.join("\n", commands(folder)) + "\n");
  }

  private static void reportLists(
      InetSocketAddress peer, byte[] status, AtomicReference<HeartbeatReport> list)
      throws IOException, InterruptedException {
    for (String[] request : requests()) {
      if (request[0].startsWith("heartbeat")) {
        long generation = Long.parseLong(request[0].substring("heartbeat-".length()));
        list.set(report(generation));
        String told = "";
        for (int i = 0; i < BEATS && !told.contains(EXPECTED.get(generation)); i++) {
          exchange(peer, HexFormat.of().parseHex(request[1]));
          Thread.sleep(BEAT_MS);
          told = Golden.json(exchange(peer, status));
        }
        check(told.contains(EXPECTED.get(generation)), told);
      }
    }
  }

  private static Path operatorFile(Path folder, FleetSettings fleetSettings) throws IOException {
    StringBuilder text = new StringBuilder("[fleet]\nname = cards\npeers = ");
    fleetSettings
        .peers()
        .forEach(
            (name, at) ->
                text.append(name).append("@127.0.0.1:").append(at.getPort()).append(", "));
    text.setLength(text.length() - 2);
    fleetSettings
        .voters()
        .forEach(
            (name, at) ->
                text.append("\nvoters = ").append(name).append("@127.0.0.1:").append(at.getPort()));
    return Files.writeString(folder.resolve("operator.ini"), text + "\nfolder = " + folder + "\n");
  }

  /** Each form of a command that the log holds, once. */
  private static SortedSet<String> commands(Path folder) throws Exception {
    SortedSet<String> forms = new TreeSet<>();
    FileBasedLog log = new FileBasedLog();
    log.init(folder.resolve(NAME + ".log").toString(), Map.of());
    try {
      log.forEach(
          (entry, index) -> {
            if (!entry.internal()) {
              forms.add(json(entry.command(), entry.offset(), entry.length()));
            }
          });
    } finally {
      log.close();
    }
    return forms;
  }

  private static String json(byte[] bytes, int offset, int length) {
    try {
      return Golden.json(java.util.Arrays.copyOfRange(bytes, offset, offset + length));
    } catch (IOException fault) {
      throw new java.io.UncheckedIOException(fault);
    }
  }

  @Example
  void aRouterBeatsInTheSameFormAndTakesARecordedGrant() throws Exception {
    Path folder = Files.createTempDirectory("golden");
    BlockingQueue<LeaseGrant> grants = new LinkedBlockingQueue<>();
    try (ServerSocket voter = new ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
      voter.setSoTimeout(PATIENCE_MS);
      InetSocketAddress at = new InetSocketAddress("127.0.0.1", voter.getLocalPort());
      VoterStore voterStore = VoterStore.read(folder, "cards", "n2");
      try (FleetMember router =
              instance(
                  terms(folder, free(), at), "n2", voterStore, grants, () -> HeartbeatReport.NONE);
          Socket open = voter.accept()) {
        check(router != null, "started");
        Golden.check("fleet-beat.txt", Golden.json(frame(open)) + "\n");
        byte[] grant = Golden.bytes("fleet-grant.cbor");
        DataOutputStream out = new DataOutputStream(open.getOutputStream());
        out.writeInt(grant.length);
        out.write(grant);
        out.flush();
        LeaseGrant taken = grants.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
        check(
            taken != null && taken.heartbeatNumber() == 1 && taken.duration().micros() == 390_000,
            "its lease");
        check(
            taken.inForce().number() == 2 && taken.inForce().routers() == 2,
            "the version in force");
        check(taken.inForce().settingsJson().equals("{\"MaxOpen\":400}"), "its settings");
        check(taken.prepared() == null && taken.changeCount() == 7, "and nothing on its way");
        check(voterStore.inForce().equals(taken.inForce()), "kept by then");
      }
    }
  }

  @Example
  void aFolderOfAnEarlierReleaseIsRead() throws Exception {
    Path folder = recordedFolder();
    VoterStore voterStore = VoterStore.read(folder, "cards", NAME);
    check(
        voterStore.inForce().number() == 3
            && voterStore.inForce().settingsJson().equals("{\"MaxOpen\":400}"),
        "the version told last");
    BlockingQueue<LeaseGrant> grants = new LinkedBlockingQueue<>();
    InetSocketAddress peer = free();
    try (FleetMember voter =
        instance(
            terms(folder, free(), peer),
            NAME,
            VoterStore.read(folder, "cards", NAME),
            grants,
            () -> HeartbeatReport.NONE)) {
      check(voter != null, "started");
      leads(grants);
      byte[] status = HexFormat.of().parseHex(requests().get(0)[1]);
      Golden.check("voter-status.txt", settled(peer, status, "\"keeps\":4") + "\n");
    }
  }

  private static Path recordedFolder() throws IOException {
    Path folder = Files.createTempDirectory("golden");
    for (String name : Golden.text("voter/FILES").lines().toList()) {
      Path file = folder.resolve(name);
      Files.createDirectories(file.getParent());
      Files.write(file, Golden.bytes("voter/" + name));
    }
    return folder;
  }
}
