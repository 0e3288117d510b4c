package basaltlever.agree;

import static basaltlever.StandIn.check;

import basaltlever.time.Moment;
import java.util.EnumSet;
import net.jqwik.api.Example;

/**
 * Leases and versions: after each step no two routers may act on versions of which neither keeps to
 * the other.
 */
class AgreementTest {
  @Example
  void noTwoRoutersEverActOnContradictingVersions() {
    int inForce = 0;
    for (int seed = 0; seed < 150; seed++) {
      FleetRun run = new FleetRun(seed, FleetRun.Bug.NONE, 3 + seed % 10);
      String broken = run.play(12_000_000);
      check(broken.isEmpty(), "seed " + seed + ": " + broken);
      inForce += run.inForce;
    }
    check(inForce > 500, "versions come into force all the same: " + inForce);
  }

  @Example
  void plantedBugsAreFound() {
    for (FleetRun.Bug bug : EnumSet.range(FleetRun.Bug.NO_LEASE, FleetRun.Bug.SHARES)) {
      boolean found = false;
      for (int seed = 0; seed < 60 && !found; seed++) {
        found = !new FleetRun(seed, bug, 6).play(12_000_000).isEmpty();
      }
      check(found, bug + " was not found");
    }
  }

  /** It was replaced without knowing it, and knows nothing of what its successor was promised. */
  @Example
  void aFormerLeadersOlderRegisterUndoesNoPromise() {
    Version force = new Version(12, "", 1, "", "", 0);
    Version next = new Version(13, "", 1, "", "", 0);
    Follower follower = new Follower();
    follower.granted(at(0), new Grant(follower.beat(at(0)), FleetRun.LEASE, force, next, 5));
    check(follower.keepsTo() == 13, "it keeps to what is on its way");
    boolean taken =
        follower.granted(at(9), new Grant(follower.beat(at(9)), FleetRun.LEASE, force, null, 4));
    check(!taken && follower.keepsTo() == 13, "it keeps to it still, under the lease that goes on");
    follower.granted(at(9), new Grant(follower.beat(at(9)), FleetRun.LEASE, force, null, 6));
    check(follower.keepsTo() == 0, "it was withdrawn");
  }

  private static Moment at(long millis) {
    return new Moment(millis * 1_000);
  }
}
