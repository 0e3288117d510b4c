package basaltlever.snapshot;

/**
 * What a router has learned of one replica group.
 *
 * @param group the number of the group
 * @param jam congestion of its replicas: the share of reads that they answered late or not at all
 *     because they were busy, 0 to 1
 * @param primaryJam the same of its primary
 */
public record GroupState(int group, double jam, double primaryJam) {}
