/** Client load generation. */
package basaltlever.lab.load;
