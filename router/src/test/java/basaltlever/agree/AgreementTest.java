package basaltlever.agree;

import static basaltlever.StandIn.check;

import java.util.EnumSet;
import net.jqwik.api.Example;

/** Leases and versions: after each step no two routers may act on versions of which neither keeps to the other. */
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
}
