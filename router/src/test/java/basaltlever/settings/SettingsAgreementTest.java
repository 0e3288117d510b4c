package basaltlever.settings;

import static basaltlever.StandIn.check;

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
    int inForce = 0;
    for (int seed = 0; seed < 150; seed++) {
      VirtualFleet run = new VirtualFleet(seed, VirtualFleet.Bug.NONE, 3 + seed % 10);
      String broken = run.run(12_000_000);
      check(broken.isEmpty(), "seed " + seed + ": " + broken);
      inForce += run.versionsInForce;
    }
    check(inForce > 500, "versions come into force all the same: " + inForce);
  }

  @Example
  void plantedBugsAreFound() {
    for (VirtualFleet.Bug bug : EnumSet.range(VirtualFleet.Bug.NO_LEASE, VirtualFleet.Bug.SHARES)) {
      boolean found = false;
      for (int seed = 0; seed < 60 && !found; seed++) {
        found = !new VirtualFleet(seed, bug, 6).run(12_000_000).isEmpty();
      }
      check(found, bug + " was not found");
    }
  }

  /** It was replaced without knowing it, and knows nothing of what its successor was promised. */
  @Example
  void aFormerLeadersOlderRegisterUndoesNoPromise() {
    SettingsVersion force = new SettingsVersion(12, "", 1, "", "", 0);
    SettingsVersion next = new SettingsVersion(13, "", 1, "", "", 0);
    LeaseHolder leaseHolder = new LeaseHolder();
    leaseHolder.acceptGrant(
        at(0),
        new LeaseGrant(leaseHolder.registerHeartbeat(at(0)), VirtualFleet.LEASE, force, next, 5));
    check(leaseHolder.acknowledgedVersion() == 13, "it keeps to what is on its way");
    boolean taken =
        leaseHolder.acceptGrant(
            at(9),
            new LeaseGrant(
                leaseHolder.registerHeartbeat(at(9)), VirtualFleet.LEASE, force, null, 4));
    check(
        !taken && leaseHolder.acknowledgedVersion() == 13,
        "it keeps to it still, under the lease that goes on");
    leaseHolder.acceptGrant(
        at(9),
        new LeaseGrant(leaseHolder.registerHeartbeat(at(9)), VirtualFleet.LEASE, force, null, 6));
    check(leaseHolder.acknowledgedVersion() == 0, "it was withdrawn");
  }

  private static Moment at(long millis) {
    return new Moment(millis * 1_000);
  }
}
