/*
 * Runs the systems in a fixed order. The scheduler has no thread of its own: the daemon's control
 * thread calls it, and so do tests.
 */
package org.pomeloladder.decisions

import kotlin.random.Random

/** The result of a tick. The next tick is due at [nextTickMs], even if no event arrives before. */
class TickResult<C : Any>(val commands: List<C>, val nextTickMs: Long)

/** Runs [systems] on [world] in list order. */
class SchedulerOf<W : Any, E : Any, C : Any>(
    val world: W,
    private val systems: List<SystemOf<W, E, C>>,
    private val random: Random,
    private val journal: Journal,
) {
    fun tick(nowMs: Long, events: List<E>): TickResult<C> {
        val tick = TickOf<E, C>(nowMs, events, random, journal)
        for (system in systems) system.run(world, tick)
        return TickResult(tick.commands, tick.nextTimerMs)
    }
}

/** The scheduler of the subscriber gateway. */
typealias Scheduler = SchedulerOf<World, Event, Command>
