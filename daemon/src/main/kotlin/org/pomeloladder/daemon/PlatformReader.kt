/*
 * Read-only access to the data that the platform publishes.
 */
package org.pomeloladder.daemon

import org.pomeloladder.configuration.ConfigSequence

/** Watches the configuration service and the VM lists while watching is enabled. */
interface PlatformReader : AutoCloseable {
    /**
     * Starts or stops watching. Reads the configuration entries that follow [after], or a snapshot
     * if [after] is null.
     */
    fun setWatching(isWatching: Boolean, after: ConfigSequence?)
}
