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
 * Where each workload stands in the decisions of a running router. A name keeps its place for as
 * long as the router runs, whatever settings come: what was learned and what is held counts by
 * place, and a statement that was taken under a name that has gone since must never count as
 * another's. A value that is never changed.
 */
public final class WorkloadSlots {
  /** Places of all names there ever were; settings that need more take a restart. */
  public static final int MOST = 250;

  /**
   * What stands where a name has gone: nothing is taken by it, and it changes nothing about the
   * others.
   */
  public static final Workload GONE =
      new Workload(
          ReadConsistency.WRITE,
          Span.NONE,
          Idempotency.NON_IDEMPOTENT,
          DeduplicationScope.GROUP,
          Span.NONE,
          Span.NONE,
          Span.NONE,
          0,
          0);

  private final List<String> names;
  private final Map<String, Integer> taken = new HashMap<>();

  private WorkloadSlots(List<String> names, List<String> now) {
    this.names = names;
    now.forEach(name -> taken.put(name, names.indexOf(name)));
  }

  /** Those of the first settings, in their order. */
  public static WorkloadSlots of(List<String> names) {
    return new WorkloadSlots(names, names);
  }

  /** Those for other settings. The caller sees to it that they are not too many. */
  public WorkloadSlots with(List<String> now) {
    List<String> all = new ArrayList<>(names);
    now.stream().filter(name -> !all.contains(name)).forEach(all::add);
    return new WorkloadSlots(all, now);
  }

  public int size() {
    return names.size();
  }

  /** Below 0 where the settings in force know no such workload. */
  public int of(String name) {
    return taken.getOrDefault(name, -1);
  }

  /** What is agreed, each workload at its place. */
  public Settings arrange(Settings by, List<String> order) {
    Workload[] placed = new Workload[names.size()];
    for (int place = 0; place < placed.length; place++) {
      int given = order.indexOf(names.get(place));
      placed[place] = given >= 0 ? by.workloads()[given] : GONE;
    }
    return new Settings(
        by.standing(),
        placed,
        by.replication(),
        by.drains(),
        by.warmUp(),
        by.allowance(),
        by.connections());
  }
}
