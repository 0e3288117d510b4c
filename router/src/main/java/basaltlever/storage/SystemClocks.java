package basaltlever.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * The clocks that date a snapshot: the system clock, and the monotonic clock together with the
 * machine boot that it belongs to.
 */
public final class SystemClocks {
  private static final Path BOOT_ID_FILE = Path.of("/proc/sys/kernel/random/boot_id");

  private SystemClocks() {}

  /** Returns the current Unix time in microseconds. */
  public static long unixMicros() {
    return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
  }

  /**
   * Returns the monotonic clock in microseconds; on Linux it counts from the boot and is common to
   * all processes.
   */
  public static long monotonicMicros() {
    return System.nanoTime() / 1_000;
  }

  /** Returns the identifier of the machine's current boot; empty if it is unknown. */
  public static String bootId() {
    try {
      return Files.readString(BOOT_ID_FILE).trim();
    } catch (IOException unknown) {
      return "";
    }
  }
}
