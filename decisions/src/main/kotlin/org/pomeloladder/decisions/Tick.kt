/*
 * Ticks and systems. A tick hands systems the time, the events that arrived and a source of randomness, and collects the
 * commands they give.
 */
package org.pomeloladder.decisions

import kotlin.random.Random

/** One run of all systems, on events [E] and commands [C]. Everything that comes from outside is handed in here. */
class TickOf<E : Any, C : Any>(
    val nowMs: Long,
    val events: List<E>,
    val random: Random,
    val journal: Journal,
) {
    private val collected = ArrayList<C>()
    private var earliestTimerMs = Long.MAX_VALUE

    /** Commands in the order in which they were given. */
    val commands: List<C>
        get() = collected

    /** The earliest time that any system asked to run again. */
    val nextTimerMs: Long
        get() = earliestTimerMs

    fun emit(command: C) {
        collected += command
    }

    /** Asks for a tick at [timeMs] at the latest. */
    fun wakeAt(timeMs: Long) {
        earliestTimerMs = minOf(earliestTimerMs, timeMs)
    }

    /** Events of type [T] in the order of arrival. */
    inline fun <reified T : E> each(handle: (T) -> Unit) {
        for (event in events) if (event is T) handle(event)
    }
}

/** Behaviour over the tables of [W]. A system changes only the tables that the design page gives it. */
fun interface SystemOf<W : Any, E : Any, C : Any> {
    fun run(world: W, tick: TickOf<E, C>)
}

/** A tick of the subscriber gateway. */
typealias Tick = TickOf<Event, Command>

/** A system of the subscriber gateway. */
typealias TickSystem = SystemOf<World, Event, Command>
