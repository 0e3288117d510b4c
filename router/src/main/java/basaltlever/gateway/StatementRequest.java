package basaltlever.gateway;

import basaltlever.time.Moment;

/**
 * A statement as received from a client.
 *
 * @param workloadIndex the index of its workload in the settings
 * @param group the group that it addresses
 * @param session the client's session; 0 if there is none
 * @param clientDeadline the time until which the client waits
 * @param lastCommit the commit time of the session's last write, where statements carry it
 * @param textBytes the size of its text in bytes, as far as the text is stored
 */
public record StatementRequest(
    int workloadIndex,
    int group,
    long session,
    Moment clientDeadline,
    Moment lastCommit,
    int textBytes) {}
