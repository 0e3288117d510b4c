/** The simulated servers, their replication and the ledger that judges all statements. */
package basaltlever.lab.world;
