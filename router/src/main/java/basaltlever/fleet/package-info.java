/**
 * Communication between the instances of a fleet: voters, the leader's connections and their
 * messages.
 */
package basaltlever.fleet;
