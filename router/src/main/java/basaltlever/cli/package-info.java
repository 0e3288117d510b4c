/** The command line: one class for each group of sub-commands. */
package basaltlever.cli;
