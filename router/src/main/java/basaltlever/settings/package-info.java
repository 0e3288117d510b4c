/**
 * Versions of the settings on which a fleet agrees: which one is in force, which leases stand, and
 * the stricter of two versions. Free of I/O.
 */
package basaltlever.settings;
