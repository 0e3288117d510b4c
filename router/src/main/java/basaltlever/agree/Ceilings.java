package basaltlever.agree;

import basaltlever.gateway.Agreed;
import basaltlever.gateway.Workload;
import basaltlever.gateway.Workload.Needs;
import basaltlever.gateway.Workload.Repeat;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.List;

/**
 * What no version may change in an installation, whoever proposes it: what the start files say of
 * writes and of repeats is a fact about the application, not a wish.
 */
public final class Ceilings {
  private Ceilings() {}

  /** Why a router turns the proposed agreement down, by key; empty where it takes it. */
  public static List<String> brokenBy(Agreed proposed, Agreed installed, Span widestBound) {
    List<String> faults = new ArrayList<>(Meet.exclusive(installed, proposed));
    double weights = 0;
    for (int i = 0; faults.isEmpty() && i < proposed.workloads().length; i++) {
      Workload kind = proposed.workloads()[i];
      Repeat own = installed.workloads()[i].repeat();
      weights += kind.importance();
      if (own == Repeat.NON_IDEMPOTENT && kind.repeat() != own) {
        faults.add("Classes." + i + ".Repeat: what must not run twice would be repeated");
      }
      if (kind.needs() == Needs.BOUNDED
          && widestBound.micros() > 0
          && kind.bound().isLongerThan(widestBound)) {
        faults.add(
            "FamilyInfo.LagAllowed: class "
                + i
                + " would read data "
                + kind.bound().micros() / 1_000
                + " ms old, the ceiling is "
                + widestBound.micros() / 1_000
                + " ms");
      }
    }
    if (faults.isEmpty() && weights <= 0) {
      faults.add("Classes.Worth: the weights sum to nothing");
    }
    return faults;
  }
}
