package basaltlever.settings;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.time.Moment;
import java.util.EnumSet;
import net.jqwik.api.Example;

/**
 * Checks after each step of a simulated fleet that no two routers act on contradicting versions,
 * where neither complies with the other's version.
 */
class SettingsAgreementTest {
  @Example
  void noTwoRoutersEverActOnContradictingVersions() {
    int versionsBroughtIntoForce = 0;
    for (int seed = 0; seed < 150; seed++) {
      VirtualFleet fleet = new VirtualFleet(seed, VirtualFleet.Bug.NONE, 3 + seed % 10);
      String violation = fleet.run(12_000_000);
      check(violation.isEmpty(), "seed " + seed + ": " + violation);
      versionsBroughtIntoForce += fleet.versionsBroughtIntoForce;
    }
    check(
        versionsBroughtIntoForce > 500,
        "more than 500 versions come into force: " + versionsBroughtIntoForce);
  }

  @Example
  void injectedBugsAreDetected() {
    for (VirtualFleet.Bug bug :
        EnumSet.range(VirtualFleet.Bug.LEASE_DOES_NOT_EXPIRE, VirtualFleet.Bug.SHARES_TOO_LARGE)) {
      boolean isDetected = false;
      for (int seed = 0; seed < 60 && !isDetected; seed++) {
        isDetected = !new VirtualFleet(seed, bug, 6).run(12_000_000).isEmpty();
      }
      check(isDetected, bug + " is detected in one of 60 runs");
    }
  }

  /**
   * A leader that was replaced without noticing does not know that a router has acknowledged a
   * version to its successor.
   */
  @Example
  void grantOfReplacedLeaderDoesNotRevokeAcknowledgedVersion() {
    SettingsVersion inForce = new SettingsVersion(12, "", 1, "", "", 0);
    SettingsVersion prepared = new SettingsVersion(13, "", 1, "", "", 0);
    LeaseHolder leaseHolder = new LeaseHolder();
    leaseHolder.acceptGrant(
        at(0),
        new LeaseGrant(
            leaseHolder.registerHeartbeat(at(0)),
            VirtualFleet.LEASE_DURATION,
            inForce,
            prepared,
            5));
    check(leaseHolder.acknowledgedVersion() == 13, "the router complies with the prepared version");
    boolean isChanged =
        leaseHolder.acceptGrant(
            at(9),
            new LeaseGrant(
                leaseHolder.registerHeartbeat(at(9)),
                VirtualFleet.LEASE_DURATION,
                inForce,
                null,
                4));
    check(
        !isChanged && leaseHolder.acknowledgedVersion() == 13,
        "the outdated grant leaves the acknowledgement unchanged while the lease runs");
    leaseHolder.acceptGrant(
        at(9),
        new LeaseGrant(
            leaseHolder.registerHeartbeat(at(9)), VirtualFleet.LEASE_DURATION, inForce, null, 6));
    check(leaseHolder.acknowledgedVersion() == 0, "a newer grant withdraws the prepared version");
  }

  private static Moment at(long millis) {
    return new Moment(millis * 1_000);
  }
}
