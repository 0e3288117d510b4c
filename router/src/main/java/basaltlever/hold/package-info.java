/** Limits on how many statements are held while a group has no primary. Free of I/O. */
package basaltlever.hold;
