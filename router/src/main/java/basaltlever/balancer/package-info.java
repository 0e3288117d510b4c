/**
 * The decisions of one router: where each statement is sent, when it waits, and which endpoints are
 * polled. Free of I/O.
 */
package basaltlever.balancer;
