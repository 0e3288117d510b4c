/**
 * Selection of the endpoints of a long list that are polled, searched for the primary and used for
 * reads. Free of I/O.
 */
package basaltlever.endpoints;
