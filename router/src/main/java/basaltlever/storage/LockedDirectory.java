package basaltlever.storage;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/**
 * A directory of the file system with a lock file, by which only one process at a time writes to
 * it.
 */
public final class LockedDirectory implements DirectoryOperations, AutoCloseable {
  private static final String LOCK_FILE = "lock";
  private static final int WRITE_CHUNK_BYTES = 1 << 16;
  private final Path path;
  private FileChannel lockChannel;

  /** Creates an instance without locking the directory. */
  public LockedDirectory(Path path) {
    this.path = path;
  }

  /** Returns the path of the directory. */
  public Path path() {
    return path;
  }

  /**
   * Tries to acquire the lock. A directory that was removed and recreated has to be locked again.
   *
   * @return false if the lock is held elsewhere
   */
  public boolean tryLock() throws IOException {
    close();
    FileChannel channel =
        FileChannel.open(
            path.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    FileLock lock = null;
    try {
      lock = channel.tryLock();
    } catch (OverlappingFileLockException heldByThisProcess) {
      // Another lock of this process has the same meaning to the caller.
    } finally {
      if (lock == null) {
        channel.close();
      } else {
        lockChannel = channel;
      }
    }
    return lock != null;
  }

  @Override
  public void close() throws IOException {
    if (lockChannel != null) {
      lockChannel.close();
      lockChannel = null;
    }
  }

  @Override
  public List<String> list() throws IOException {
    try (Stream<Path> files = Files.list(path)) {
      return files.map(file -> file.getFileName().toString()).toList();
    } catch (UncheckedIOException fault) {
      throw fault.getCause();
    }
  }

  @Override
  public byte[] read(String name, int maxBytes) throws IOException {
    return read(path.resolve(name), maxBytes);
  }

  /** Reads a file; throws if it is a directory or longer than the given number of bytes. */
  public static byte[] read(Path file, int maxBytes) throws IOException {
    if (Files.isDirectory(file)) {
      throw new IOException("the path is a directory");
    }
    try (var in = Files.newInputStream(file)) {
      byte[] bytes = in.readNBytes(maxBytes + 1);
      if (bytes.length > maxBytes) {
        throw new IOException("the file is larger than " + maxBytes + " bytes");
      }
      return bytes;
    }
  }

  @Override
  public void write(String name, byte[] bytes) throws IOException {
    try (FileChannel channel =
        FileChannel.open(
            path.resolve(name),
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
      int written = 0;
      while (written < bytes.length) {
        written +=
            channel.write(
                ByteBuffer.wrap(
                    bytes, written, Math.min(WRITE_CHUNK_BYTES, bytes.length - written)));
      }
    }
  }

  @Override
  public void sync(String name) throws IOException {
    try (FileChannel channel = FileChannel.open(path.resolve(name), StandardOpenOption.WRITE)) {
      channel.force(true);
    }
  }

  @Override
  public void rename(String from, String to) throws IOException {
    Files.move(path.resolve(from), path.resolve(to), StandardCopyOption.ATOMIC_MOVE);
  }

  @Override
  public void delete(String name) throws IOException {
    Files.deleteIfExists(path.resolve(name));
  }

  @Override
  public void syncDirectory() throws IOException {
    try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  @Override
  public String toString() {
    return path.toString();
  }
}
