package basaltlever.storage;

import java.io.IOException;
import java.util.List;

/**
 * The directory operations that are needed to store files durably. Tests use an implementation that
 * fails between any two operations.
 */
public interface DirectoryOperations {
  /** Returns the names of all files. */
  List<String> list() throws IOException;

  /** Reads a file; throws if it is longer than the given number of bytes. */
  byte[] read(String name, int maxBytes) throws IOException;

  /** Creates or replaces a file; its content may be lost until it is synced. */
  void write(String name, byte[] bytes) throws IOException;

  /** Makes a file's content durable. */
  void sync(String name) throws IOException;

  /** Renames a file and atomically replaces the target if it exists. */
  void rename(String from, String to) throws IOException;

  /** Deletes a file, if it exists. */
  void delete(String name) throws IOException;

  /** Makes all created, renamed and deleted directory entries durable. */
  void syncDirectory() throws IOException;
}
