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
 * A library of this project's, built with the system's compiler and preloaded into a router, that
 * steps its wall clock and makes its system calls fail by rates set from here while it runs.
 */
final class FaultShim {
  /** The calls that can be made to fail, in the order of the control block. */
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

  private static final String SOURCE = "/native/fault_shim.c";
  private static final int BYTES = 4_096;
  private static final int CLOCK_AT = 0;
  private static final int SEED_AT = 8;
  private static final int RATES_AT = 16;
  private static final long BUILDS_IN_SECONDS = 60;

  private final Path library;
  private final Path control;
  private final Path folder;
  private final MappedByteBuffer block;

  private FaultShim(Path library, Path control, Path folder, MappedByteBuffer block) {
    this.library = library;
    this.control = control;
    this.folder = folder;
    this.block = block;
  }

  /** Builds the library into the folder; null where this machine has no compiler. */
  static Path build(Path into) throws IOException, InterruptedException {
    Path source = into.resolve("fault_shim.c");
    try (InputStream text = FaultShim.class.getResourceAsStream(SOURCE)) {
      Files.copy(text, source);
    }
    Path library = into.resolve("fault_shim.so");
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
      String said =
          new String(
              compiler.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
      if (!compiler.waitFor(BUILDS_IN_SECONDS, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
        throw new IOException("the fault shim can't be built: " + said);
      }
      return library;
    } catch (IOException noCompiler) {
      if (Files.exists(library)
          || !String.valueOf(noCompiler.getMessage()).contains("Cannot run program")) {
        throw noCompiler;
      }
      return null;
    }
  }

  /** One router's control block; writes and syncs fail only below the watched folder. */
  static FaultShim open(Path library, Path control, Path watched, long seed) throws IOException {
    Files.write(control, new byte[BYTES]);
    try (FileChannel channel =
        FileChannel.open(control, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      MappedByteBuffer block = channel.map(FileChannel.MapMode.READ_WRITE, 0, BYTES);
      block.order(ByteOrder.nativeOrder()).putLong(SEED_AT, seed);
      return new FaultShim(library, control, watched, block);
    }
  }

  /** What the process under test is started with. */
  Map<String, String> environment() {
    return Map.of(
        "LD_PRELOAD",
        library.toString(),
        "FAULT_CONTROL",
        control.toString(),
        "FAULT_FOLDER",
        folder.toString());
  }

  void wallClock(long offsetMillis) {
    block.putLong(CLOCK_AT, offsetMillis);
  }

  /** So many of a million calls fail from here on. */
  void fails(Call call, int perMillion) {
    block.putInt(RATES_AT + 4 * call.ordinal(), perMillion);
  }

  void allWell() {
    for (Call call : Call.values()) {
      fails(call, 0);
    }
  }
}
