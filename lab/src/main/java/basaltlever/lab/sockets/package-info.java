/** Simulated servers, discovery and clients on real sockets, and router processes. */
package basaltlever.lab.sockets;
