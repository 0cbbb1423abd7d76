/*
 * Runs the systems in their fixed order. The scheduler has no thread: the daemon's control thread calls it, and so do
 * tests.
 */
package org.pomeloladder.decisions

import kotlin.random.Random

/** What one tick produced. The next tick is due at [nextTickMs] even when no event arrives. */
class TickResult<C : Any>(val commands: List<C>, val nextTickMs: Long)

/** Runs [systems] over [world] in list order. */
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
