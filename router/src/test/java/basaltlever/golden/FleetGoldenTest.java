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
 * Checks the compatibility with instances of an earlier release by their recorded messages and
 * files: both sides answer the recorded bytes in the same form, the voters' log contains the same
 * commands, and a voter starts from a recorded folder.
 */
class FleetGoldenTest {
  private static final int TIMEOUT_MILLIS = 20_000;
  private static final String NAME = "n1";
  private static final int MAX_HEARTBEATS = 40;
  private static final int HEARTBEAT_INTERVAL_MILLIS = 100;

  /** Text in the status after the leader has handled a generation that both routers reported. */
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

  /** Starts an instance whose router sends the given reports and complies with each grant. */
  private static FleetMember startInstance(
      FleetSettings settings,
      String name,
      VoterStore store,
      BlockingQueue<LeaseGrant> grants,
      Supplier<HeartbeatReport> reports)
      throws Exception {
    AtomicLong heartbeats = new AtomicLong();
    AtomicReference<FleetMember> fleet = new AtomicReference<>();
    AtomicReference<LeaseGrant> latestGrant = new AtomicReference<>();
    fleet.set(
        new FleetMember(
            settings,
            name,
            store,
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

  private static byte[] exchange(InetSocketAddress address, byte[] message) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(address, TIMEOUT_MILLIS);
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
    byte[] reply = new byte[in.readInt()];
    in.readFully(reply);
    return reply;
  }

  /** Returns pairs of a name and a request in hexadecimal, in the order in which to send them. */
  private static List<String[]> recordedRequests() throws IOException {
    return Golden.text("fleet-requests.txt").lines().map(line -> line.split(" ")).toList();
  }

  /** Creates the report of the voter's own router, which agrees with the recorded heartbeat. */
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
    check(grant != null, "the only voter becomes leader and grants itself a lease");
  }

  /** Waits for a status that contains the text and no prepared version, and returns it. */
  private static String awaitSettledStatus(
      InetSocketAddress address, byte[] status, String expectedText)
      throws IOException, InterruptedException {
    String statusJson = "";
    for (long startNanos = System.nanoTime();
        (System.nanoTime() - startNanos) / 1_000_000 < TIMEOUT_MILLIS;
        Thread.sleep(50)) {
      statusJson = Golden.toMaskedJson(exchange(address, status));
      if (statusJson.contains("\"prepared\":null") && statusJson.contains(expectedText)) {
        return statusJson;
      }
    }
    throw new AssertionError("status did not settle in time: " + statusJson);
  }

  @Example
  void voterAnswersRecordedRequestsAndLogsTheSameCommands() throws Exception {
    Path folder = Files.createTempDirectory("golden");
    InetSocketAddress peer = freeAddress();
    FleetSettings settings = createSettings(folder, freeAddress(), peer);
    BlockingQueue<LeaseGrant> grants = new LinkedBlockingQueue<>();
    StringBuilder output = new StringBuilder();
    AtomicReference<HeartbeatReport> report = new AtomicReference<>(HeartbeatReport.NONE);
    try (FleetMember voter =
        startInstance(
            settings, NAME, VoterStore.open(folder, "cards", NAME), grants, report::get)) {
      check(voter != null, "instance has started");
      awaitLease(grants);
      byte[] status = HexFormat.of().parseHex(recordedRequests().get(0)[1]);
      for (String[] request : recordedRequests()) {
        if (request[0].startsWith("heartbeat")) {
          continue;
        }
        byte[] reply = exchange(peer, HexFormat.of().parseHex(request[1]));
        output.append(request[0]).append(' ').append(Golden.toMaskedJson(reply)).append('\n');
        awaitSettledStatus(peer, status, "");
      }
      Path operator = writeOperatorFile(folder, settings);
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
        output.append(command).append(' ').append(Golden.mask(CommandRunner.run(Main.class, line)));
      }
      reportLists(peer, status, report);
      awaitSettledStatus(peer, status, "\"number\":4,");
    }
    Golden.check("fleet-answers.txt", output.toString());
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

  private static Path writeOperatorFile(Path folder, FleetSettings settings) throws IOException {
    StringBuilder text = new StringBuilder("[fleet]\nname = cards\npeers = ");
    settings
        .peers()
        .forEach(
            (name, address) ->
                text.append(name).append("@127.0.0.1:").append(address.getPort()).append(", "));
    text.setLength(text.length() - 2);
    settings
        .voters()
        .forEach(
            (name, address) ->
                text.append("\nvoters = ")
                    .append(name)
                    .append("@127.0.0.1:")
                    .append(address.getPort()));
    return Files.writeString(folder.resolve("operator.ini"), text + "\nfolder = " + folder + "\n");
  }

  /** Returns the distinct commands of the log, masked. */
  private static SortedSet<String> loggedCommands(Path folder) throws Exception {
    SortedSet<String> commands = new TreeSet<>();
    FileBasedLog log = new FileBasedLog();
    log.init(folder.resolve(NAME + ".log").toString(), Map.of());
    try {
      log.forEach(
          (entry, index) -> {
            if (!entry.internal()) {
              commands.add(toMaskedJson(entry.command(), entry.offset(), entry.length()));
            }
          });
    } finally {
      log.close();
    }
    return commands;
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
      InetSocketAddress address = new InetSocketAddress("127.0.0.1", voter.getLocalPort());
      VoterStore store = VoterStore.open(folder, "cards", "n2");
      try (FleetMember router =
              startInstance(
                  createSettings(folder, freeAddress(), address),
                  "n2",
                  store,
                  grants,
                  () -> HeartbeatReport.NONE);
          Socket connection = voter.accept()) {
        check(router != null, "instance has started");
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
            "the recorded lease is applied");
        check(
            applied.inForce().number() == 2 && applied.inForce().routers() == 2,
            "the recorded version is in force");
        check(applied.inForce().settingsJson().equals("{\"MaxOpen\":400}"), "settings applied");
        check(
            applied.prepared() == null && applied.changeCount() == 7,
            "no version is prepared, and the change count is the recorded one");
        check(store.inForce().equals(applied.inForce()), "version is stored before delivery");
      }
    }
  }

  @Example
  void voterStartsFromAFolderOfAnEarlierRelease() throws Exception {
    Path folder = copyRecordedFolder();
    VoterStore store = VoterStore.open(folder, "cards", NAME);
    check(
        store.inForce().number() == 3 && store.inForce().settingsJson().equals("{\"MaxOpen\":400}"),
        "the version last reported by a leader is read");
    BlockingQueue<LeaseGrant> grants = new LinkedBlockingQueue<>();
    InetSocketAddress peer = freeAddress();
    try (FleetMember voter =
        startInstance(
            createSettings(folder, freeAddress(), peer),
            NAME,
            VoterStore.open(folder, "cards", NAME),
            grants,
            () -> HeartbeatReport.NONE)) {
      check(voter != null, "instance has started");
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
