/*
 * Ticks and systems. A tick hands systems the time, the events that arrived and a source of randomness, and collects the
 * commands they give.
 */
package org.pomeloladder.decisions

import kotlin.random.Random

/** One run of all systems. Everything that comes from outside is handed in here. */
class Tick(val nowMs: Long, val events: List<Event>, val random: Random, val journal: Journal) {
    private val collected = ArrayList<Command>()
    private var earliestTimerMs = Long.MAX_VALUE

    /** Commands in the order in which they were given. */
    val commands: List<Command>
        get() = collected

    /** The earliest time that any system asked to run again. */
    val nextTimerMs: Long
        get() = earliestTimerMs

    fun give(command: Command) {
        collected += command
    }

    /** Asks for a tick at [timeMs] at the latest. */
    fun wakeAt(timeMs: Long) {
        earliestTimerMs = minOf(earliestTimerMs, timeMs)
    }

    /** Events of type [E] in the order of arrival. */
    inline fun <reified E : Event> each(handle: (E) -> Unit) {
        for (event in events) if (event is E) handle(event)
    }
}

/** Behaviour over the tables. A system changes only the tables that the design page gives it. */
fun interface TickSystem {
    fun run(world: World, tick: Tick)
}
