/** Days with router processes, many servers and seeded faults, judged by the rules. */
package basaltlever.lab.endtoend;
