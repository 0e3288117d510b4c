/** Reads, checks and completes the start file and the operator's file. */
package basaltlever.config;
