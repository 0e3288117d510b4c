/**
 * Implements the simulator's wire protocol on standard input and output, using the same router core
 * as the socket server.
 */
package basaltlever.adapter;
