/*
 * Divides the engines of a region between long prompts and long answers, by what all VMs of the region placed there
 * lately.
 */
package org.pomeloladder.gateway

private const val INTERVAL_MS = 250L
private const val MS_PER_S = 1_000.0

/** Part of their time that engines may spend on reading before prompts wait long. */
private const val READING_TARGET = 0.7

/** Part of their places that engines may fill before their steps take noticeably longer. */
private const val BATCH_TARGET = 0.7

/** Each side keeps at least this part, since its work may come back at any moment. */
private const val LEAST_PART = 0.2

/** Weight of a new figure. All VMs follow the same slow average, so their boundaries lie close together. */
private const val PART_WEIGHT = 0.15

/** Keeps [ServiceState.readingPart]. */
class SideSystem : GatewaySystem {
    private var dividedMs = Long.MIN_VALUE / 2

    override fun run(world: GatewayWorld, tick: GatewayTick) {
        if (tick.nowMs - dividedMs < INTERVAL_MS) return
        dividedMs = tick.nowMs
        for ((service, servers) in world.serversHere) divide(world.service(service), servers)
    }

    private fun divide(state: ServiceState, servers: List<Backend>) {
        val tokens = servers.sumOf { it.recentPromptTokens + it.peerRecentTokens }
        val reading = tokens * state.msPerPromptToken /
            (CallCosts.RECENT_PROMPTS_S * MS_PER_S)
        val running = servers.sumOf { it.load.toDouble() / it.record.slots.coerceAtLeast(1) }
        val readingNeed = reading / READING_TARGET
        val need = readingNeed + running / BATCH_TARGET
        if (need < 1) return
        val part = (readingNeed / need).coerceIn(LEAST_PART, 1 - LEAST_PART)
        state.readingPart += PART_WEIGHT * (part - state.readingPart)
    }
}
