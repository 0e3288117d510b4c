/**
 * Versions of the settings on which a fleet agrees: the version in force, the leases of the routers
 * and the stricter of two versions. Contains no I/O.
 */
package basaltlever.settings;
