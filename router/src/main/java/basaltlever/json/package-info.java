/** A small JSON reader with bounds on size and depth. */
package basaltlever.json;
