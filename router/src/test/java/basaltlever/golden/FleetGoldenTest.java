package basaltlever.golden;

import static basaltlever.StandIn.check;

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
  private static final int TIMEOUT_MILLIS = 20_000;
  private static final String NAME = "n1";
  private static final int MAX_HEARTBEATS = 40;
  private static final int HEARTBEAT_INTERVAL_MILLIS = 100;

  /** By the generation that both routers report: what status says once it has been acted on. */
  private static final Map<Long, String> EXPECTED_STATUS_BY_GENERATION =
      Map.of(41L, "\"seats\":1", 42L, "\"seats\":3", 7L, "\"era\":1");

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
    }
  }

  private static FleetSettings createSettings(
      Path folder, InetSocketAddress voter, InetSocketAddress peer) throws IOException {
    return new FleetSettings(
        "cards",
        Map.of(NAME, peer, "n2", freeAddress()),
        Map.of(NAME, voter),
        folder,
        Span.ofMillis(400),
        Span.ofMillis(1_000),
        Span.ofMillis(3_000));
  }

  /** An instance whose router reports what it is given and takes whatever it is granted. */
  private static FleetMember startInstance(
      FleetSettings fleetSettings,
      String name,
      VoterStore voterStore,
      BlockingQueue<LeaseGrant> grants,
      Supplier<HeartbeatReport> reports)
      throws Exception {
    AtomicLong heartbeats = new AtomicLong();
    AtomicReference<FleetMember> fleet = new AtomicReference<>();
    AtomicReference<LeaseGrant> latestGrant = new AtomicReference<>();
    fleet.set(
        new FleetMember(
            fleetSettings,
            name,
            voterStore,
            new SplittableRandom(1),
            () -> {
              if (fleet.get() != null) {
                HeartbeatReport report = reports.get();
                LeaseGrant lastGrant = latestGrant.get();
                long inForce = lastGrant == null ? 0 : lastGrant.inForce().number();
                long acknowledged =
                    lastGrant == null || lastGrant.prepared() == null
                        ? inForce
                        : lastGrant.prepared().number();
                fleet
                    .get()
                    .sendHeartbeat(
                        heartbeats.incrementAndGet(),
                        0,
                        inForce,
                        acknowledged,
                        0,
                        "",
                        true,
                        report);
              }
            },
            (grant, update) -> {
              latestGrant.set(grant);
              grants.add(grant);
            }));
    return fleet.get();
  }

  private static byte[] exchange(InetSocketAddress at, byte[] message) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(at, TIMEOUT_MILLIS);
      socket.setSoTimeout(TIMEOUT_MILLIS);
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.writeInt(message.length);
      out.write(message);
      out.flush();
      return readFrame(socket);
    }
  }

  private static byte[] readFrame(Socket socket) throws IOException {
    DataInputStream in = new DataInputStream(socket.getInputStream());
    byte[] answer = new byte[in.readInt()];
    in.readFully(answer);
    return answer;
  }

  /** Lines of a name and the bytes of a request, in the order in which they were sent. */
  private static List<String[]> recordedRequests() throws IOException {
    return Golden.text("fleet-requests.txt").lines().map(line -> line.split(" ")).toList();
  }

  /**
   * What the router of the voter itself says of a list, so that both routers of the fleet say the
   * same.
   */
  private static HeartbeatReport createReport(long generation) {
    ListVersion listVersion = new ListVersion(0, generation);
    GroupAssignment assignment =
        new GroupAssignment("db-1", generation == 41 ? 0 : 1, listVersion, false);
    List<String> releasedEndpoints = generation == 41 ? List.of() : List.of("db-1");
    ListAnomaly anomaly = generation < 41 ? ListAnomaly.BACK : ListAnomaly.NONE;
    return new HeartbeatReport(
        listVersion, 99, anomaly, List.of(), 0, List.of(assignment), releasedEndpoints, 0, 0, 0);
  }

  private static void awaitLease(BlockingQueue<LeaseGrant> grants) throws InterruptedException {
    LeaseGrant grant = grants.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    while (grant != null && grant.duration().micros() <= 0) {
      grant = grants.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
    check(grant != null, "it leads itself");
  }

  /** The lines of status that tell what was agreed, once nothing is on its way any more. */
  private static String awaitSettledStatus(InetSocketAddress at, byte[] status, String expectedText)
      throws IOException, InterruptedException {
    String statusJson = "";
    for (long startNanos = System.nanoTime();
        (System.nanoTime() - startNanos) / 1_000_000 < TIMEOUT_MILLIS;
        Thread.sleep(50)) {
      statusJson = Golden.toMaskedJson(exchange(at, status));
      if (statusJson.contains("\"prepared\":null") && statusJson.contains(expectedText)) {
        return statusJson;
      }
    }
    throw new AssertionError("never settled: " + statusJson);
  }

  @Example
  void voterAnswersRecordedRequestsAndLogsTheSameCommands() throws Exception {
    Path folder = Files.createTempDirectory("golden");
    InetSocketAddress peer = freeAddress();
    FleetSettings fleetSettings = createSettings(folder, freeAddress(), peer);
    BlockingQueue<LeaseGrant> grants = new LinkedBlockingQueue<>();
    StringBuilder answers = new StringBuilder();
    AtomicReference<HeartbeatReport> report = new AtomicReference<>(HeartbeatReport.NONE);
    try (FleetMember voter =
        startInstance(
            fleetSettings, NAME, VoterStore.open(folder, "cards", NAME), grants, report::get)) {
      check(voter != null, "started");
      awaitLease(grants);
      byte[] status = HexFormat.of().parseHex(recordedRequests().get(0)[1]);
      for (String[] request : recordedRequests()) {
        if (request[0].startsWith("heartbeat")) {
          continue;
        }
        byte[] answer = exchange(peer, HexFormat.of().parseHex(request[1]));
        answers.append(request[0]).append(' ').append(Golden.toMaskedJson(answer)).append('\n');
        awaitSettledStatus(peer, status, "");
      }
      Path operator = writeOperatorFile(folder, fleetSettings);
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
        answers
            .append(command)
            .append(' ')
            .append(Golden.maskLines(CommandRunner.run(Main.class, line)));
      }
      reportLists(peer, status, report);
      awaitSettledStatus(peer, status, "\"number\":4,");
    }
    Golden.check("fleet-answers.txt", answers.toString());
    Golden.check("fleet-commands.txt", String.join("\n", loggedCommands(folder)) + "\n");
  }

  private static void reportLists(
      InetSocketAddress peer, byte[] status, AtomicReference<HeartbeatReport> report)
      throws IOException, InterruptedException {
    for (String[] request : recordedRequests()) {
      if (request[0].startsWith("heartbeat")) {
        long generation = Long.parseLong(request[0].substring("heartbeat-".length()));
        report.set(createReport(generation));
        String statusJson = "";
        for (int i = 0;
            i < MAX_HEARTBEATS
                && !statusJson.contains(EXPECTED_STATUS_BY_GENERATION.get(generation));
            i++) {
          exchange(peer, HexFormat.of().parseHex(request[1]));
          Thread.sleep(HEARTBEAT_INTERVAL_MILLIS);
          statusJson = Golden.toMaskedJson(exchange(peer, status));
        }
        check(statusJson.contains(EXPECTED_STATUS_BY_GENERATION.get(generation)), statusJson);
      }
    }
  }

  private static Path writeOperatorFile(Path folder, FleetSettings fleetSettings)
      throws IOException {
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
  private static SortedSet<String> loggedCommands(Path folder) throws Exception {
    SortedSet<String> forms = new TreeSet<>();
    FileBasedLog log = new FileBasedLog();
    log.init(folder.resolve(NAME + ".log").toString(), Map.of());
    try {
      log.forEach(
          (entry, index) -> {
            if (!entry.internal()) {
              forms.add(toMaskedJson(entry.command(), entry.offset(), entry.length()));
            }
          });
    } finally {
      log.close();
    }
    return forms;
  }

  private static String toMaskedJson(byte[] bytes, int offset, int length) {
    try {
      return Golden.toMaskedJson(java.util.Arrays.copyOfRange(bytes, offset, offset + length));
    } catch (IOException fault) {
      throw new java.io.UncheckedIOException(fault);
    }
  }

  @Example
  void routerSendsTheRecordedHeartbeatAndAppliesTheRecordedGrant() throws Exception {
    Path folder = Files.createTempDirectory("golden");
    BlockingQueue<LeaseGrant> grants = new LinkedBlockingQueue<>();
    try (ServerSocket voter = new ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
      voter.setSoTimeout(TIMEOUT_MILLIS);
      InetSocketAddress at = new InetSocketAddress("127.0.0.1", voter.getLocalPort());
      VoterStore voterStore = VoterStore.open(folder, "cards", "n2");
      try (FleetMember router =
              startInstance(
                  createSettings(folder, freeAddress(), at),
                  "n2",
                  voterStore,
                  grants,
                  () -> HeartbeatReport.NONE);
          Socket connection = voter.accept()) {
        check(router != null, "started");
        Golden.check("fleet-beat.txt", Golden.toMaskedJson(readFrame(connection)) + "\n");
        byte[] grant = Golden.bytes("fleet-grant.cbor");
        DataOutputStream out = new DataOutputStream(connection.getOutputStream());
        out.writeInt(grant.length);
        out.write(grant);
        out.flush();
        LeaseGrant applied = grants.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        check(
            applied != null
                && applied.heartbeatNumber() == 1
                && applied.duration().micros() == 390_000,
            "its lease");
        check(
            applied.inForce().number() == 2 && applied.inForce().routers() == 2,
            "the version in force");
        check(applied.inForce().settingsJson().equals("{\"MaxOpen\":400}"), "its settings");
        check(applied.prepared() == null && applied.changeCount() == 7, "and nothing on its way");
        check(voterStore.inForce().equals(applied.inForce()), "kept by then");
      }
    }
  }

  @Example
  void voterStartsFromAFolderOfAnEarlierRelease() throws Exception {
    Path folder = copyRecordedFolder();
    VoterStore voterStore = VoterStore.open(folder, "cards", NAME);
    check(
        voterStore.inForce().number() == 3
            && voterStore.inForce().settingsJson().equals("{\"MaxOpen\":400}"),
        "the version told last");
    BlockingQueue<LeaseGrant> grants = new LinkedBlockingQueue<>();
    InetSocketAddress peer = freeAddress();
    try (FleetMember voter =
        startInstance(
            createSettings(folder, freeAddress(), peer),
            NAME,
            VoterStore.open(folder, "cards", NAME),
            grants,
            () -> HeartbeatReport.NONE)) {
      check(voter != null, "started");
      awaitLease(grants);
      byte[] status = HexFormat.of().parseHex(recordedRequests().get(0)[1]);
      Golden.check("voter-status.txt", awaitSettledStatus(peer, status, "\"keeps\":4") + "\n");
    }
  }

  private static Path copyRecordedFolder() throws IOException {
    Path folder = Files.createTempDirectory("golden");
    for (String name : Golden.text("voter/FILES").lines().toList()) {
      Path file = folder.resolve(name);
      Files.createDirectories(file.getParent());
      Files.write(file, Golden.bytes("voter/" + name));
    }
    return folder;
  }
}
