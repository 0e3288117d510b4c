/** Generators of client load. */
package basaltlever.lab.load;
