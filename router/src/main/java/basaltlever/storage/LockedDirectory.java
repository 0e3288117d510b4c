package basaltlever.storage;

import java.io.IOException;
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

/** A folder of the file system, held by one process at a time. */
public final class LockedDirectory implements DirectoryOperations, AutoCloseable {
  private static final String LOCK = "lock";
  private static final int PIECE = 1 << 16;
  private final Path path;
  private FileChannel held;

  public LockedDirectory(Path path) {
    this.path = path;
  }

  public Path path() {
    return path;
  }

  /** False where another process holds it. One that vanished and came back has to be taken anew. */
  public boolean take() throws IOException {
    close();
    FileChannel channel =
        FileChannel.open(path.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    FileLock lock = null;
    try {
      lock = channel.tryLock();
    } catch (OverlappingFileLockException ours) {
      // Held within this process: the same to whoever asks.
    } finally {
      if (lock == null) {
        channel.close();
      } else {
        held = channel;
      }
    }
    return lock != null;
  }

  @Override
  public void close() throws IOException {
    if (held != null) {
      held.close();
      held = null;
    }
  }

  @Override
  public List<String> names() throws IOException {
    try (Stream<Path> files = Files.list(path)) {
      return files.map(file -> file.getFileName().toString()).toList();
    } catch (java.io.UncheckedIOException e) {
      throw e.getCause();
    }
  }

  @Override
  public byte[] read(String name, int most) throws IOException {
    return read(path.resolve(name), most);
  }

  /** A file that grows while it is read is cut off. */
  public static byte[] read(Path file, int most) throws IOException {
    if (Files.isDirectory(file)) {
      throw new IOException("it is a folder");
    }
    try (var in = Files.newInputStream(file)) {
      byte[] bytes = in.readNBytes(most + 1);
      if (bytes.length > most) {
        throw new IOException("it is larger than " + most + " bytes");
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
      for (int at = 0; at < bytes.length; ) {
        at += channel.write(ByteBuffer.wrap(bytes, at, Math.min(PIECE, bytes.length - at)));
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
  public void syncFolder() throws IOException {
    try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  @Override
  public String toString() {
    return path.toString();
  }
}
