/** Runs scenarios in virtual time, without sockets. */
package basaltlever.lab.virtual;
