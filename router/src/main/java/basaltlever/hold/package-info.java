/** Limits on how many statements may be held while a group has no primary. Free of I/O. */
package basaltlever.hold;
