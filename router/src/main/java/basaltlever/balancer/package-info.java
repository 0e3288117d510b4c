/**
 * The decisions of one router: where each statement goes, when it waits, and what is polled. Free
 * of I/O.
 */
package basaltlever.balancer;
