/** The endpoint list: reading chunked HTTP responses, parsing entries, and publishing changes. */
package basaltlever.discovery;
