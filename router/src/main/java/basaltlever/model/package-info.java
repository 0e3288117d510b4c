/** Holds the state that decisions maintain for each endpoint, replica group and statement. */
package basaltlever.model;
