package basaltlever.settings;

import basaltlever.gateway.Settings;
import basaltlever.gateway.Workload;
import basaltlever.gateway.Workload.Idempotency;
import basaltlever.gateway.Workload.ReadConsistency;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.List;

/**
 * What no version may change in an installation, whoever proposes it: what the start files say of
 * writes and of repeats is a fact about the application, not a wish.
 */
public final class SettingsConstraints {
  private SettingsConstraints() {}

  /** Why a router turns the proposed agreement down, by key; empty where it takes it. */
  public static List<String> brokenBy(Settings proposed, Settings installed, Span widestBound) {
    List<String> faults = new ArrayList<>(StricterSettings.exclusive(installed, proposed));
    double weights = 0;
    for (int i = 0; faults.isEmpty() && i < proposed.workloads().length; i++) {
      Workload kind = proposed.workloads()[i];
      Idempotency own = installed.workloads()[i].repeat();
      weights += kind.importance();
      if (own == Idempotency.NON_IDEMPOTENT && kind.repeat() != own) {
        faults.add("Classes." + i + ".Repeat: what must not run twice would be repeated");
      }
      if (kind.needs() == ReadConsistency.BOUNDED
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
