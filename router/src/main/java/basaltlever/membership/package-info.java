/**
 * Agreement of a fleet on the endpoint list and on who may vote: drain marks, group assignments and
 * the coordinator that the leader runs. Free of I/O.
 */
package basaltlever.membership;
