package basaltlever.lab.endtoend;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Controls a native library that is preloaded into a router process. The library is compiled with
 * the system's C compiler; it steps the wall clock of the process and makes its system calls fail
 * at rates that can be changed while the process runs.
 */
final class FaultShim {
  /** System call failures that can be injected, in the order of the control block. */
  enum Call {
    ACCEPT,
    SOCKET,
    CONNECT,
    WAIT_INTERRUPTED,
    SHORT_READ,
    SHORT_WRITE,
    BROKEN_READ,
    FILE_WRITE,
    FILE_SYNC
  }

  private static final String SOURCE_RESOURCE = "/native/fault_shim.c";
  private static final int CONTROL_BLOCK_BYTES = 4_096;
  private static final int CLOCK_OFFSET_POSITION = 0;
  private static final int SEED_POSITION = 8;
  private static final int RATES_POSITION = 16;
  private static final long BUILD_TIMEOUT_SECONDS = 60;

  private final Path library;
  private final Path controlFile;
  private final Path watchedFolder;
  private final MappedByteBuffer controlBlock;

  private FaultShim(
      Path library, Path controlFile, Path watchedFolder, MappedByteBuffer controlBlock) {
    this.library = library;
    this.controlFile = controlFile;
    this.watchedFolder = watchedFolder;
    this.controlBlock = controlBlock;
  }

  /** Compiles the library into the folder; returns null if this machine has no C compiler. */
  static Path build(Path outputFolder) throws IOException, InterruptedException {
    Path source = outputFolder.resolve("fault_shim.c");
    try (InputStream resource = FaultShim.class.getResourceAsStream(SOURCE_RESOURCE)) {
      Files.copy(resource, source);
    }
    Path library = outputFolder.resolve("fault_shim.so");
    try {
      Process compiler =
          new ProcessBuilder(
                  "cc",
                  "-shared",
                  "-fPIC",
                  "-O2",
                  "-o",
                  library.toString(),
                  source.toString(),
                  "-ldl")
              .redirectErrorStream(true)
              .start();
      String output =
          new String(
              compiler.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
      if (!compiler.waitFor(BUILD_TIMEOUT_SECONDS, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
        throw new IOException("compiling the fault shim failed: " + output);
      }
      return library;
    } catch (IOException failure) {
      if (Files.exists(library)
          || !String.valueOf(failure.getMessage()).contains("Cannot run program")) {
        throw failure;
      }
      return null;
    }
  }

  /** Creates the control block of one router; file failures affect only the watched folder. */
  static FaultShim open(Path library, Path controlFile, Path watchedFolder, long seed)
      throws IOException {
    Files.write(controlFile, new byte[CONTROL_BLOCK_BYTES]);
    try (FileChannel channel =
        FileChannel.open(controlFile, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      MappedByteBuffer controlBlock =
          channel.map(FileChannel.MapMode.READ_WRITE, 0, CONTROL_BLOCK_BYTES);
      controlBlock.order(ByteOrder.nativeOrder()).putLong(SEED_POSITION, seed);
      return new FaultShim(library, controlFile, watchedFolder, controlBlock);
    }
  }

  /** Returns the environment variables with which the process under test is started. */
  Map<String, String> environment() {
    return Map.of(
        "LD_PRELOAD",
        library.toString(),
        "FAULT_CONTROL",
        controlFile.toString(),
        "FAULT_FOLDER",
        watchedFolder.toString());
  }

  void setWallClockOffset(long offsetMillis) {
    controlBlock.putLong(CLOCK_OFFSET_POSITION, offsetMillis);
  }

  /** Sets how many of a million calls fail from now on. */
  void setFailureRate(Call call, int perMillion) {
    controlBlock.putInt(RATES_POSITION + 4 * call.ordinal(), perMillion);
  }

  void clearFailures() {
    for (Call call : Call.values()) {
      setFailureRate(call, 0);
    }
  }
}
