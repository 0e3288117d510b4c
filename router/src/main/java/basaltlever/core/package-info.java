/**
 * One router without I/O: maps external ids to indices and ensures one final response for each
 * statement.
 */
package basaltlever.core;
