package basaltlever.fleet;

import static basaltlever.StandIn.check;

import basaltlever.config.FleetSettings;
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

  @Example
  void theVersionInForceIsKeptByTheTimeARouterIsGrantedIt() throws Exception {
    Path folder = Files.createTempDirectory("told");
    FleetSettings terms =
        new FleetSettings(
            "cards",
            Map.of("n1", free()),
            Map.of("n1", free()),
            folder,
            Span.ofMillis(400),
            Span.ofMillis(1_000),
            Span.ofMillis(3_000));
    VoterStore papers = VoterStore.read(folder, "cards", "n1");
    check(papers.told() == null, "an empty folder was told nothing");
    MembershipView roll = new MembershipView(Span.ofMillis(1_000), Span.ofMillis(3_000));
    AtomicLong beats = new AtomicLong();
    AtomicReference<FleetMember> fleet = new AtomicReference<>();
    AtomicReference<SettingsVersion> kept = new AtomicReference<>();
    AtomicReference<LeaseGrant> granted = new AtomicReference<>();
    CountDownLatch leased = new CountDownLatch(1);
    fleet.set(
        new FleetMember(
            terms,
            "n1",
            papers,
            new SplittableRandom(1),
            () -> {
              if (fleet.get() != null) {
                fleet
                    .get()
                    .beat(
                        beats.incrementAndGet(),
                        0,
                        0,
                        0,
                        0,
                        "",
                        true,
                        roll.report(new Moment(System.nanoTime() / 1_000), member -> true));
              }
            },
            (grant, sight) -> {
              if (grant.lasts().micros() > 0 && leased.getCount() > 0) {
                kept.set(papers.told());
                granted.set(grant);
                leased.countDown();
              }
            }));
    try {
      check(leased.await(20, TimeUnit.SECONDS), "it leads itself");
      check(
          granted.get().inForce().equals(kept.get()),
          "in force: " + granted.get().inForce() + ", kept: " + kept);
    } finally {
      fleet.get().close();
    }
    check(
        VoterStore.read(folder, "cards", "n1").told().equals(kept.get()),
        "and found by the next process");
  }
}
