package basaltlever.snapshot;

/**
 * What a router has learned of one replica group.
 *
 * @param group the number of the group
 * @param congestion congestion of its replicas: the share of reads that they answered late or not
 *     at all because they were busy, 0 to 1
 * @param primaryCongestion the same of its primary
 */
public record GroupState(int group, double congestion, double primaryCongestion) {}
