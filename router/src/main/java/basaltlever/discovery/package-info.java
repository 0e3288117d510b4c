/** The endpoint list: HTTP responses in chunks, entries of the list, and what has changed in it. */
package basaltlever.discovery;
