/** Keeps the learned state in files: format, generations, locking and the writer thread. */
package basaltlever.storage;
