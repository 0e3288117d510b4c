package basaltlever.settings;

import basaltlever.gateway.Settings;
import basaltlever.gateway.Workload;
import basaltlever.gateway.Workload.Idempotency;
import basaltlever.gateway.Workload.ReadConsistency;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.List;

/**
 * Checks that a proposed version leaves unchanged what the start files declare as facts about the
 * application: which workloads write and which statements must not run twice.
 */
public final class SettingsConstraints {
  private SettingsConstraints() {}

  /**
   * Returns the reasons why a router rejects the proposed settings, each starting with the settings
   * key; empty if it accepts them.
   *
   * @param proposed settings to check
   * @param installed settings of the router's start file
   * @param maxStaleness upper limit of bounded staleness; zero for no limit
   */
  public static List<String> findViolations(
      Settings proposed, Settings installed, Span maxStaleness) {
    List<String> reasons = new ArrayList<>(StricterSettings.findConflicts(installed, proposed));
    double totalWeight = 0;
    for (int i = 0; reasons.isEmpty() && i < proposed.workloads().length; i++) {
      Workload workload = proposed.workloads()[i];
      totalWeight += workload.priorityWeight();
      checkIdempotency(i, workload, installed.workloads()[i], reasons);
      checkStaleness(i, workload, maxStaleness, reasons);
    }
    if (reasons.isEmpty() && totalWeight <= 0) {
      reasons.add("Classes.Worth: the weights sum to nothing");
    }
    return reasons;
  }

  private static void checkIdempotency(
      int index, Workload proposed, Workload installed, List<String> reasons) {
    if (installed.idempotency() == Idempotency.NON_IDEMPOTENT
        && proposed.idempotency() != Idempotency.NON_IDEMPOTENT) {
      reasons.add("Classes." + index + ".Repeat: what must not run twice would be repeated");
    }
  }

  private static void checkStaleness(
      int index, Workload proposed, Span maxStaleness, List<String> reasons) {
    if (proposed.consistency() == ReadConsistency.BOUNDED
        && maxStaleness.micros() > 0
        && proposed.maxStaleness().isLongerThan(maxStaleness)) {
      reasons.add(
          "FamilyInfo.LagAllowed: class "
              + index
              + " would read data "
              + proposed.maxStaleness().micros() / 1_000
              + " ms old, the ceiling is "
              + maxStaleness.micros() / 1_000
              + " ms");
    }
  }
}
