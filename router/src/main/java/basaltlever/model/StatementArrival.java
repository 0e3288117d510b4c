package basaltlever.model;

import basaltlever.gateway.Workload;
import basaltlever.time.Moment;

/**
 * The properties of a statement that are fixed on arrival.
 *
 * @param workloadIndex the index of its workload in the settings
 * @param workload the settings of the workload on arrival; later changes of the settings do not
 *     affect it
 * @param session the client's session; 0 if there is none
 * @param receivedAt the arrival time
 * @param clientDeadline the time until which the client waits
 * @param requiredPosition the position that the data read must include on arrival; a staleness
 *     bound is not part of it, since that position moves with the clock
 * @param textBytes the size of its text in bytes, as far as the text is stored
 */
public record StatementArrival(
    int workloadIndex,
    Workload workload,
    long session,
    Moment receivedAt,
    Moment clientDeadline,
    Moment requiredPosition,
    int textBytes) {}
