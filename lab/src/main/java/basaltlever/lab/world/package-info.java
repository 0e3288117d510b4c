/** Simulated servers, their replication, injected faults and the checker of all statements. */
package basaltlever.lab.world;
