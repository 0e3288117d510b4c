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
 * A fleet of one, on loopback: what its leader tells is in the folder before the router hears of
 * it.
 */
class StoredVersionTest {
  private static InetSocketAddress free() throws Exception {
    try (ServerSocket socket = new ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
    }
  }

  private static FleetSettings settings(Path folder) throws Exception {
    return new FleetSettings(
        "cards",
        Map.of("n1", free()),
        Map.of("n1", free()),
        folder,
        Span.ofMillis(400),
        Span.ofMillis(1_000),
        Span.ofMillis(3_000));
  }

  /** A router that reports nothing but its heartbeats. */
  private static FleetMember start(
      Path folder, VoterStore store, BiConsumer<LeaseGrant, MembershipUpdate> granted)
      throws Exception {
    MembershipView view = new MembershipView(Span.ofMillis(1_000), Span.ofMillis(3_000));
    AtomicLong heartbeats = new AtomicLong();
    AtomicReference<FleetMember> fleet = new AtomicReference<>();
    Runnable heartbeatDue =
        () -> {
          if (fleet.get() != null) {
            HeartbeatReport report =
                view.createReport(new Moment(System.nanoTime() / 1_000), member -> true);
            fleet.get().sendHeartbeat(heartbeats.incrementAndGet(), 0, 0, 0, 0, "", true, report);
          }
        };
    fleet.set(
        new FleetMember(
            settings(folder), "n1", store, new SplittableRandom(1), heartbeatDue, granted));
    return fleet.get();
  }

  @Example
  void theVersionInForceIsKeptByTheTimeARouterIsGrantedIt() throws Exception {
    Path folder = Files.createTempDirectory("told");
    VoterStore store = VoterStore.read(folder, "cards", "n1");
    check(store.inForce() == null, "an empty folder was told nothing");
    AtomicReference<SettingsVersion> kept = new AtomicReference<>();
    AtomicReference<LeaseGrant> granted = new AtomicReference<>();
    CountDownLatch leased = new CountDownLatch(1);
    BiConsumer<LeaseGrant, MembershipUpdate> onGrant =
        (grant, lists) -> {
          if (grant.duration().micros() > 0 && leased.getCount() > 0) {
            kept.set(store.inForce());
            granted.set(grant);
            leased.countDown();
          }
        };
    try (FleetMember fleet = start(folder, store, onGrant)) {
      check(fleet != null, "started");
      check(leased.await(20, TimeUnit.SECONDS), "it leads itself");
      check(
          granted.get().inForce().equals(kept.get()),
          "in force: " + granted.get().inForce() + ", kept: " + kept);
    }
    check(
        VoterStore.read(folder, "cards", "n1").inForce().equals(kept.get()),
        "and found by the next process");
  }
}
