package basaltlever.storage;

import java.io.IOException;
import java.util.List;

/**
 * One folder, by the few steps that writing safely needs; tests put one in its place that fails
 * between any two.
 */
public interface DirectoryOperations {
  List<String> names() throws IOException;

  /** Throws where the file is longer than the given number of bytes. */
  byte[] read(String name, int most) throws IOException;

  /** Makes or replaces the file; what it holds may be lost until it is synced. */
  void write(String name, byte[] bytes) throws IOException;

  void sync(String name) throws IOException;

  void rename(String from, String to) throws IOException;

  void delete(String name) throws IOException;

  /** From here on the names stand as they are. */
  void syncFolder() throws IOException;
}
