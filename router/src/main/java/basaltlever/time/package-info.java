/** Points in time, durations, and the correction of wrong clocks. */
package basaltlever.time;
