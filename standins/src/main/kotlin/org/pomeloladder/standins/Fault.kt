/*
 * Faults that a [FaultProxy] can inject into connections.
 */
package org.pomeloladder.standins

/** Direction of bytes through a proxied connection. */
enum class Direction { TO_TARGET, TO_SOURCE }

/** How the proxy treats the bytes of a connection. */
sealed interface Fault {
    /** Bytes are forwarded immediately. */
    data object None : Fault

    /** Each chunk of bytes is forwarded after a delay of [delayMs]. */
    data class Delay(val delayMs: Long) : Fault

    /** Bytes in any of [directions] are held back and forwarded when the fault ends. */
    data class Hold(val directions: Set<Direction>) : Fault

    /**
     * Bytes in any of [directions] are dropped. A connection that lost bytes is closed when the
     * fault ends, because TCP never delivers a stream with a gap.
     */
    data class Cut(val directions: Set<Direction>) : Fault

    /** Existing connections are closed, and new ones as soon as their source is identified. */
    data object Refuse : Fault

    /** Instead of the response, the source receives [first] and then [repeated] without end. */
    data class Flood(val first: String, val repeated: String) : Fault

    /** All bytes sent to the target are sent a second time, on a separate connection. */
    data object Duplicate : Fault
}

/** Both directions of a connection. */
val BOTH_WAYS: Set<Direction> = Direction.entries.toSet()
