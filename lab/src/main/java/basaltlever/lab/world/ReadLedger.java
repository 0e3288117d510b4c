package basaltlever.lab.world;

import basaltlever.time.Moment;
import java.util.ArrayList;
import java.util.List;

/** Records from which data answered reads came, to judge them once all versions are known. */
public final class ReadLedger {
  /**
   * A read that its client has an answer to.
   *
   * @param workloadIndex the index of its workload
   * @param sentByClient when its client was to send it
   * @param receivedByServer when the server that answered received it
   * @param position the position of the data
   * @param requiredCommitMillis the last commit of its session, in Unix milliseconds; 0 for none
   * @param atPrimary whether the primary answered
   */
  public record AnsweredRead(
      String id,
      int workloadIndex,
      int router,
      Moment sentByClient,
      Moment receivedByServer,
      Moment position,
      long requiredCommitMillis,
      boolean atPrimary) {}

  private final List<AnsweredRead> reads = new ArrayList<>();
  private boolean enabled;

  /** Records from now on. */
  public void enable() {
    enabled = true;
  }

  boolean isEnabled() {
    return enabled;
  }

  void record(Statement statement, Statement.Execution execution) {
    if (enabled && !statement.workload.isWrite()) {
      reads.add(
          new AnsweredRead(
              statement.id,
              statement.workload.index(),
              statement.router,
              statement.dueAt,
              execution.sentAt,
              execution.position,
              statement.requiredCommitMillis,
              execution.atPrimary));
    }
  }

  /** Returns all recorded reads in the order of their answers. */
  public List<AnsweredRead> reads() {
    return reads;
  }
}
