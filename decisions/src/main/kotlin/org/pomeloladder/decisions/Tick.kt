/*
 * Ticks and systems. A tick provides systems with the time, the events that arrived and a source of
 * randomness, and collects the commands that they emit.
 */
package org.pomeloladder.decisions

import kotlin.random.Random

/**
 * One run of all systems, with events of type [E] and commands of type [C]. All external input of
 * the systems, such as time and randomness, comes from here.
 */
class TickOf<E : Any, C : Any>(
    val nowMs: Long,
    val events: List<E>,
    val random: Random,
    val journal: Journal,
) {
    private val emitted = ArrayList<C>()
    private var earliestTimerMs = Long.MAX_VALUE

    /** The commands in the order in which they were emitted. */
    val commands: List<C>
        get() = emitted

    /** The earliest time for which a system has requested a tick. */
    val nextTimerMs: Long
        get() = earliestTimerMs

    fun emit(command: C) {
        emitted += command
    }

    /** Requests a tick at [timeMs] at the latest. */
    fun wakeAt(timeMs: Long) {
        earliestTimerMs = minOf(earliestTimerMs, timeMs)
    }

    /** Calls [handle] for each event of type [T], in order of arrival. */
    inline fun <reified T : E> each(handle: (T) -> Unit) {
        for (event in events) if (event is T) handle(event)
    }
}

/**
 * Behaviour that operates on the tables of [W]. A system modifies only the tables that the design
 * page assigns to it.
 */
fun interface SystemOf<W : Any, E : Any, C : Any> {
    fun run(world: W, tick: TickOf<E, C>)
}

/** A tick of the subscriber gateway. */
typealias Tick = TickOf<Event, Command>

/** A system of the subscriber gateway. */
typealias TickSystem = SystemOf<World, Event, Command>
