package basaltlever.storage;

import java.io.IOException;
import java.util.List;

/**
 * The operations on a directory that storing files safely takes. Tests replace it by one that fails
 * between any two of them.
 */
public interface DirectoryOperations {
  /** The names of all files. */
  List<String> list() throws IOException;

  /** Reads a file; throws where it is longer than the given number of bytes. */
  byte[] read(String name, int maxBytes) throws IOException;

  /** Creates or replaces a file; its content may be lost until it is synced. */
  void write(String name, byte[] bytes) throws IOException;

  /** Makes a file's content durable. */
  void sync(String name) throws IOException;

  /** Replaces the target, if there is one, atomically. */
  void rename(String from, String to) throws IOException;

  /** Deletes a file, if it exists. */
  void delete(String name) throws IOException;

  /** Makes all created, renamed and deleted names durable. */
  void syncDirectory() throws IOException;
}
