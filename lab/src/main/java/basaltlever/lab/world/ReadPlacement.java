package basaltlever.lab.world;

import java.util.Map;

/**
 * Counts the reads that servers receive by their role, while a version is prepared and otherwise.
 */
public final class ReadPlacement {
  private boolean versionPrepared;
  private int atPrimaries;
  private int atReplicas;
  private int atPrimariesWhilePrepared;
  private int atReplicasWhilePrepared;

  /** Sets whether a version is prepared from now on. */
  public void setVersionPrepared(boolean prepared) {
    versionPrepared = prepared;
  }

  void record(boolean atPrimary) {
    if (versionPrepared) {
      atPrimariesWhilePrepared += atPrimary ? 1 : 0;
      atReplicasWhilePrepared += atPrimary ? 0 : 1;
    } else {
      atPrimaries += atPrimary ? 1 : 0;
      atReplicas += atPrimary ? 0 : 1;
    }
  }

  /** Adds the shares of reads that primaries received. */
  public void addTo(Map<String, Object> figures) {
    figures.put("reads_at_primaries", share(atPrimaries, atReplicas));
    figures.put(
        "reads_at_primaries_prepared", share(atPrimariesWhilePrepared, atReplicasWhilePrepared));
  }

  private static double share(int part, int rest) {
    return part + rest == 0 ? 0 : part / (double) (part + rest);
  }
}
