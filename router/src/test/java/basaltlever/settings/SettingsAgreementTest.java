package basaltlever.settings;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.time.Moment;
import java.util.EnumSet;
import net.jqwik.api.Example;

/**
 * Leases and versions: after each step no two routers may act on versions of which neither keeps to
 * the other.
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
        "versions come into force all the same: " + versionsBroughtIntoForce);
  }

  @Example
  void injectedBugsAreDetected() {
    for (VirtualFleet.Bug bug :
        EnumSet.range(VirtualFleet.Bug.LEASE_DOES_NOT_EXPIRE, VirtualFleet.Bug.SHARES_TOO_LARGE)) {
      boolean isDetected = false;
      for (int seed = 0; seed < 60 && !isDetected; seed++) {
        isDetected = !new VirtualFleet(seed, bug, 6).run(12_000_000).isEmpty();
      }
      check(isDetected, bug + " was not found");
    }
  }

  /** It was replaced without knowing it, and knows nothing of what its successor was promised. */
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
    check(leaseHolder.acknowledgedVersion() == 13, "it keeps to what is on its way");
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
        "it keeps to it still, under the lease that goes on");
    leaseHolder.acceptGrant(
        at(9),
        new LeaseGrant(
            leaseHolder.registerHeartbeat(at(9)), VirtualFleet.LEASE_DURATION, inForce, null, 6));
    check(leaseHolder.acknowledgedVersion() == 0, "it was withdrawn");
  }

  private static Moment at(long millis) {
    return new Moment(millis * 1_000);
  }
}
