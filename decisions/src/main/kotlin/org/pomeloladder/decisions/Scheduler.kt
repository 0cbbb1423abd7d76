/*
 * Runs the systems in their fixed order. The scheduler has no thread: the daemon's control thread calls it, and so do
 * tests.
 */
package org.pomeloladder.decisions

import kotlin.random.Random

/** What one tick produced. The next tick is due at [nextTickMs] even when no event arrives. */
class TickResult(val commands: List<Command>, val nextTickMs: Long)

/** Runs [systems] over [world] in list order. */
class Scheduler(
    val world: World,
    private val systems: List<TickSystem>,
    private val random: Random,
    private val journal: Journal,
) {
    fun tick(nowMs: Long, events: List<Event>): TickResult {
        val tick = Tick(nowMs, events, random, journal)
        for (system in systems) system.run(world, tick)
        tick.each<Inspection> { it.read(world, nowMs) }
        return TickResult(tick.commands, tick.nextTimerMs)
    }
}
