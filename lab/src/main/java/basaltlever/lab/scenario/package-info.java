/** Scenario files: deployment, workloads, faults and expected figures of a laboratory run. */
package basaltlever.lab.scenario;
