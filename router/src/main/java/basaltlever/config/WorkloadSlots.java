package basaltlever.config;

import basaltlever.gateway.Settings;
import basaltlever.gateway.Workload;
import basaltlever.gateway.Workload.DeduplicationScope;
import basaltlever.gateway.Workload.Idempotency;
import basaltlever.gateway.Workload.ReadConsistency;
import basaltlever.time.Span;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Maps each workload to its index, or slot, in the load balancer of a running router. A name
 * retains its slot as long as the router runs, even if the settings change: learned values and held
 * statements are stored by slot, and a statement that was accepted under a removed name must never
 * be counted as another workload's. Immutable.
 */
public final class WorkloadSlots {
  /** The limit for the slots of current and removed names; exceeding it needs a restart. */
  public static final int MAX_SLOTS = 250;

  /**
   * Fills the slot of a removed name; accepts no statements and does not affect other workloads.
   */
  public static final Workload REMOVED =
      new Workload(
          ReadConsistency.WRITE,
          Span.NONE,
          Idempotency.NON_IDEMPOTENT,
          DeduplicationScope.GROUP,
          Span.NONE,
          Span.NONE,
          Span.NONE,
          0,
          0,
          true);

  private final List<String> names;
  private final Map<String, Integer> slots = new HashMap<>();

  private WorkloadSlots(List<String> names, List<String> current) {
    this.names = names;
    current.forEach(name -> slots.put(name, names.indexOf(name)));
  }

  /** Returns the slots for the first settings, in their order. */
  public static WorkloadSlots of(List<String> names) {
    return new WorkloadSlots(names, names);
  }

  /** Returns the slots for other settings; the caller checks the number of slots. */
  public WorkloadSlots with(List<String> current) {
    List<String> all = new ArrayList<>(names);
    current.stream().filter(name -> !all.contains(name)).forEach(all::add);
    return new WorkloadSlots(all, current);
  }

  /** Returns the number of slots, including those of removed names. */
  public int size() {
    return names.size();
  }

  /** Returns the slot of a workload; negative if the current settings have none of that name. */
  public int of(String name) {
    return slots.getOrDefault(name, -1);
  }

  /** Returns the settings with each workload at its slot, given the order of their names. */
  public Settings arrange(Settings settings, List<String> order) {
    Workload[] placed = new Workload[names.size()];
    for (int slot = 0; slot < placed.length; slot++) {
      int index = order.indexOf(names.get(slot));
      placed[slot] = index >= 0 ? settings.workloads()[index] : REMOVED;
    }
    return settings.withWorkloads(placed);
  }
}
