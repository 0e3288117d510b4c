/** Scenario files: what is started and which faults happen when. */
package basaltlever.lab.scenario;
