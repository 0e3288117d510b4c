package basaltlever.fleet;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.config.FleetSettings;
import basaltlever.membership.HeartbeatReport;
import basaltlever.membership.MembershipUpdate;
import basaltlever.membership.MembershipView;
import basaltlever.settings.LeaseGrant;
import basaltlever.settings.SettingsVersion;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import net.jqwik.api.Example;

/**
 * Runs a fleet of one voter on loopback, and checks that the version in force is stored in the
 * folder before the grant that reports it is delivered to the router.
 */
class StoredVersionTest {
  private static InetSocketAddress freeAddress() throws Exception {
    try (ServerSocket socket = new ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
    }
  }

  private static FleetSettings settings(Path folder) throws Exception {
    return new FleetSettings(
        "cards",
        Map.of("n1", freeAddress()),
        Map.of("n1", freeAddress()),
        folder,
        Span.ofMillis(400),
        Span.ofMillis(1_000),
        Span.ofMillis(3_000));
  }

  /** Starts an instance that sends heartbeats without endpoints. */
  private static FleetMember start(
      Path folder, VoterStore store, BiConsumer<LeaseGrant, MembershipUpdate> onLeaseGranted)
      throws Exception {
    MembershipView view = new MembershipView(Span.ofMillis(1_000), Span.ofMillis(3_000));
    AtomicLong heartbeats = new AtomicLong();
    AtomicReference<FleetMember> fleet = new AtomicReference<>();
    Runnable onHeartbeatDue =
        () -> {
          if (fleet.get() != null) {
            HeartbeatReport report =
                view.createReport(new Moment(System.nanoTime() / 1_000), endpoint -> true);
            fleet.get().sendHeartbeat(heartbeats.incrementAndGet(), 0, 0, 0, 0, "", true, report);
          }
        };
    fleet.set(
        new FleetMember(
            settings(folder),
            "n1",
            store,
            new SplittableRandom(1),
            onHeartbeatDue,
            onLeaseGranted));
    return fleet.get();
  }

  @Example
  void versionInForceIsStoredBeforeTheGrantIsDelivered() throws Exception {
    Path folder = Files.createTempDirectory("voter-store");
    VoterStore store = VoterStore.open(folder, "cards", "n1");
    check(store.inForce() == null, "an empty folder contains no version");
    AtomicReference<SettingsVersion> stored = new AtomicReference<>();
    AtomicReference<LeaseGrant> granted = new AtomicReference<>();
    CountDownLatch leased = new CountDownLatch(1);
    BiConsumer<LeaseGrant, MembershipUpdate> onGrant =
        (grant, lists) -> {
          if (grant.duration().micros() > 0 && leased.getCount() > 0) {
            stored.set(store.inForce());
            granted.set(grant);
            leased.countDown();
          }
        };
    try (FleetMember fleet = start(folder, store, onGrant)) {
      check(fleet != null, "instance has started");
      check(
          leased.await(20, TimeUnit.SECONDS),
          "the only voter becomes leader and grants itself a lease");
      check(
          granted.get().inForce().equals(stored.get()),
          "in force: " + granted.get().inForce() + ", stored: " + stored);
    }
    check(
        VoterStore.open(folder, "cards", "n1").inForce().equals(stored.get()),
        "the next process reads the stored version");
  }
}
