package basaltlever.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * The clocks by which a snapshot is dated: the system clock, and the monotonic clock with the boot
 * of the machine that it belongs to.
 */
public final class SystemClocks {
  private static final Path BOOT_ID_FILE = Path.of("/proc/sys/kernel/random/boot_id");

  private SystemClocks() {}

  /** Microseconds of Unix time. */
  public static long unixMicros() {
    return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
  }

  /** Microseconds of the monotonic clock; on Linux since the boot, alike for all processes. */
  public static long monotonicMicros() {
    return System.nanoTime() / 1_000;
  }

  /** Identifies the current boot of the machine; empty where that is unknown. */
  public static String bootId() {
    try {
      return Files.readString(BOOT_ID_FILE).trim();
    } catch (IOException unknown) {
      return "";
    }
  }
}
