/**
 * Sockets, timers and the event loop: client sessions, server connections, discovery watch and life
 * cycle.
 */
package basaltlever.net;
