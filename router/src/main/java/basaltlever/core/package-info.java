/** One router without I/O: maps outside ids to indices and owes each statement one final answer. */
package basaltlever.core;
