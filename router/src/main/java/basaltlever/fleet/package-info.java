/**
 * Communication between the instances of a fleet: voters, routers' connections to the leader, and
 * the messages between them.
 */
package basaltlever.fleet;
