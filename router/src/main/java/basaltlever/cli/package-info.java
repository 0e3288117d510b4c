/** The command line: one class for each command or group of subcommands. */
package basaltlever.cli;
