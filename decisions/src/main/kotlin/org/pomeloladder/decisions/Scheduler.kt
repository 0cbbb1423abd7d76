/*
 * Runs the systems in a fixed order. The scheduler has no thread of its own: the daemon's control
 * thread calls it, and so do tests.
 */
package org.pomeloladder.decisions

import kotlin.random.Random

/** The result of a tick. The next tick is due at [nextTickMs], even if no event arrives before. */
class TickResult<C : Any>(val commands: List<C>, val nextTickMs: Long)

/**
 * Runs [systems] on [world] in list order. [onError] is called with an unexpected exception of a
 * system, which loses what that system had left to do in this tick; if it returns, the other systems
 * run. By default it throws the exception, which then ends the tick.
 */
class SchedulerOf<W : Any, E : Any, C : Any>(
    val world: W,
    private val systems: List<SystemOf<W, E, C>>,
    private val random: Random,
    private val journal: Journal,
    private val onError: (RuntimeException) -> Unit = { throw it },
) {
    fun tick(nowMs: Long, events: List<E>): TickResult<C> {
        val tick = TickOf<E, C>(nowMs, events, random, journal)
        for (system in systems) {
            try {
                system.run(world, tick)
            } catch (@Suppress("TooGenericExceptionCaught") e: RuntimeException) {
                onError(e)
            }
        }
        return TickResult(tick.commands, tick.nextTimerMs)
    }
}

/** The scheduler of the subscriber gateway. */
typealias Scheduler = SchedulerOf<World, Event, Command>
