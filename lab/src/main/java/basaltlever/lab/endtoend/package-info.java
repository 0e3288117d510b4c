/** Tests router processes end to end against simulated servers, clients and seeded faults. */
package basaltlever.lab.endtoend;
