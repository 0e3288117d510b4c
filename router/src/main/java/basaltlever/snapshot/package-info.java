/** The learned state of a router, its decay with age, and its restore after a restart. */
package basaltlever.snapshot;
