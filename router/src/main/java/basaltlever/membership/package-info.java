/**
 * Agreement of a fleet on the endpoint list and on the eligibility of voters: drain marks, group
 * assignments and the coordinator that runs at the leader. Contains no I/O.
 */
package basaltlever.membership;
