/** Stores snapshots of the learned state in files: format, generations, lock and writer. */
package basaltlever.storage;
