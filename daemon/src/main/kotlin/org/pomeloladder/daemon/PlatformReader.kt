/*
 * Reads what the platform publishes. Nothing is ever written to it.
 */
package org.pomeloladder.daemon

import org.pomeloladder.configuration.ConfigSequence

/** Watches the configuration service and the VM lists while asked to. */
interface PlatformReader : AutoCloseable {
    /** Starts or stops watching. [after] is the position from which entries are wanted; null wants a snapshot. */
    fun watch(isWatching: Boolean, after: ConfigSequence?)
}
