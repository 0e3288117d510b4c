/** The state that decisions keep for each endpoint, replica group and statement. */
package basaltlever.model;
