/**
 * Agreement of a fleet on settings and on the endpoint list: versions, leases and membership. Free
 * of I/O.
 */
package basaltlever.agree;
