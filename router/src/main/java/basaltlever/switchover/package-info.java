/** Planned switchovers of a group's primary: announcements and phases. Free of I/O. */
package basaltlever.switchover;
