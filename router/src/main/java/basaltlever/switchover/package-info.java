/** Planned switchovers of a group's primary: announcements and phases. Performs no I/O. */
package basaltlever.switchover;
