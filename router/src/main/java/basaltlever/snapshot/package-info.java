/** Records of what a router has learned, how they age and how they are restored. */
package basaltlever.snapshot;
