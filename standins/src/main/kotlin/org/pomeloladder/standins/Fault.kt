/*
 * Faults that a [FaultProxy] can inject into connections.
 */
package org.pomeloladder.standins

/** One of the two ways through a connection. */
enum class Direction { TO_TARGET, TO_SOURCE }

/** What happens to the bytes of a connection. */
sealed interface Fault {
    /** Bytes pass at once. */
    data object None : Fault

    /** Bytes pass after [delayMs]. */
    data class Delay(val delayMs: Long) : Fault

    /** Bytes going one of [directions] wait, and pass when the fault ends. */
    data class Hold(val directions: Set<Direction>) : Fault

    /**
     * Bytes going one of [directions] are lost. Connections that lost bytes are closed when the fault ends, as TCP
     * never delivers a stream with a gap.
     */
    data class Cut(val directions: Set<Direction>) : Fault

    /** Connections are closed, and new ones are closed at once. */
    data object Refuse : Fault

    /** In place of an answer its source gets [first], and then [repeated] without end. */
    data class Flood(val first: String, val repeated: String) : Fault

    /** Everything sent to the target is sent a second time, on a connection of its own. */
    data object Duplicate : Fault
}

/** Both ways. */
val BOTH_WAYS: Set<Direction> = Direction.entries.toSet()
