/** Storage of learned state in snapshot files: format, retention, lock and writer. */
package basaltlever.storage;
