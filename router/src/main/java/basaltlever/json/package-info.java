/** A small JSON parser with limits on the depth of nesting and the length of numbers. */
package basaltlever.json;
