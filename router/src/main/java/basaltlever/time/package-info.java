/** Points in time, durations, and corrections of clocks that are wrong. */
package basaltlever.time;
