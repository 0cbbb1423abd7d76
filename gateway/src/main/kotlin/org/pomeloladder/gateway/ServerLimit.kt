/*
 * The limit that a backend server in need names in its answers: the calls a second that it takes
 * from all processes together. Processes share what they observe, and use it by shares that need no
 * agreement.
 */
package org.pomeloladder.gateway

/** What is known of the limit of one server. */
class ServerLimit {
    /** Calls a second, or null while the server names no limit. */
    var perS: Double? = null
        private set

    /** Time of the answer, here or at a peer, from which [perS] is known. */
    var observedMs = Long.MIN_VALUE / 2
        private set

    /** Takes over what an answer said at [atMs]. Returns whether the limit began, changed or ended. */
    fun observe(limitPerS: Double?, atMs: Long): Boolean {
        if (atMs < observedMs) return false
        observedMs = atMs
        val hasChanged = limitPerS != perS
        perS = limitPerS
        return hasChanged
    }

    /** Forgets the limit, because another instance of the server has started. */
    fun clear() {
        perS = null
        observedMs = Long.MIN_VALUE / 2
    }
}
