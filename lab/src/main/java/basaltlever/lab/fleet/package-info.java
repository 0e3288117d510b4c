/** Fleets that agree: long runs with processes, and in virtual time. */
package basaltlever.lab.fleet;
