/**
 * Speaks the simulator's wire protocol on standard input and output, on top of the same router
 * core.
 */
package basaltlever.adapter;
