/** Log events with their fields, counters, rate-limited lines and traces of single statements. */
package basaltlever.log;
