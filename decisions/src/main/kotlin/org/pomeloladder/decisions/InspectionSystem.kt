/*
 * Answers questions of other threads about the tables, after every other system has run.
 */
package org.pomeloladder.decisions

/** Runs each [Inspection] of the tick. */
class InspectionSystem : TickSystem {
    override fun run(world: World, tick: Tick) {
        tick.each<Inspection> { it.read(world, tick.nowMs) }
    }
}
