package basaltlever.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * The clocks by which a view is dated: the system's, and the steady one with the run of the machine
 * it belongs to.
 */
public final class SystemClocks {
  private static final Path BOOT = Path.of("/proc/sys/kernel/random/boot_id");

  private SystemClocks() {}

  public static long now() {
    return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
  }

  /** On Linux this counts from the start of the machine for all its processes alike. */
  public static long steady() {
    return System.nanoTime() / 1_000;
  }

  /** Empty where it can't be known: then only the system's clock counts. */
  public static String boot() {
    try {
      return Files.readString(BOOT).trim();
    } catch (IOException e) {
      return "";
    }
  }
}
