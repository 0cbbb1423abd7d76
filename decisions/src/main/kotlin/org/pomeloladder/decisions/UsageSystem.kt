/*
 * Decayed usage of subscribers: what this process dispatched for each, plus what peers of the failure domain report. It
 * makes a subscriber's share independent of the entry VM that it calls.
 */
package org.pomeloladder.decisions

import kotlin.math.pow
import org.pomeloladder.configuration.SubscriberId

/** Usage counts half after this time. */
const val USAGE_HALF_LIFE_MS = 60_000L

/** A subscriber with more than this multiple of the mean usage is heavy. A sole subscriber never is. */
private const val HEAVY_FACTOR = 2.0

/** Rows are decayed and dropped this often. */
private const val USAGE_SCAN_MS = 1_000L

/** A row with less usage than this changes no decision and is dropped. */
private const val LEAST_USAGE_TOKENS = 1.0

/** Keeps the table of subscribers. Runs before the completion system, which removes the rows of ended attempts. */
class UsageSystem : TickSystem {
    private var nextScanMs = 0L

    override fun run(world: World, tick: Tick) {
        tick.each<PeerControl> { event ->
            val message = event.message
            if (message is Heartbeat) hear(world, tick, event, message)
        }
        tick.each<AttemptEnded> { correct(world, tick, it) }
        scan(world, tick)
    }

    private fun hear(world: World, tick: Tick, event: PeerControl, heartbeat: Heartbeat) {
        val peer = world.entryVms[event.from] ?: return
        if (peer.record.domain != world.self.domain) return
        for (load in heartbeat.heaviest.take(MAX_REPORTED_SUBSCRIBERS)) {
            val row = world.usageOf(load.subscriber, tick.nowMs)
            row.reportedByVm[event.from] = load.costTokens.toDouble()
            row.peerCostTokens = row.reportedByVm.values.sum()
        }
    }

    /** Replaces the estimate charged at dispatch by what the attempt really used. */
    private fun correct(world: World, tick: Tick, event: AttemptEnded) {
        val attempt = world.attempts[event.attempt] ?: return
        if (attempt.chargedTokens == 0L) return
        val spec = attempt.spec
        val used = when (val outcome = event.outcome) {
            is AttemptOutcome.Completed -> spec.promptTokens.toLong() + outcome.outputTokens
            is AttemptOutcome.NotSent -> 0
            else -> spec.promptTokens.toLong() + attempt.deliveredTokens
        }
        world.charge(spec.subscriber, used - attempt.chargedTokens, tick.nowMs)
    }

    private fun scan(world: World, tick: Tick) {
        if (tick.nowMs >= nextScanMs) {
            nextScanMs = tick.nowMs + USAGE_SCAN_MS
            for (row in world.subscribers) row.decay(tick.nowMs)
            world.subscribers.removeIf {
                it.costTokens < LEAST_USAGE_TOKENS
            }
            val total = world.subscribers.sumOf { it.costTokens }
            world.process.meanUsageTokens = total / maxOf(1, world.subscribers.size)
        }
        if (world.subscribers.size > 0) tick.wakeAt(nextScanMs)
    }
}

/** The row of [subscriber], decayed to [nowMs]. */
fun World.usageOf(subscriber: SubscriberId, nowMs: Long): SubscriberUsage {
    val row = subscribers.getOrPut(subscriber) {
        SubscriberUsage(subscriber).also { it.decayedAtMs = nowMs }
    }
    row.decay(nowMs)
    return row
}

/** Adds [costTokens], which is negative for a correction, to the usage of [subscriber]. */
fun World.charge(subscriber: SubscriberId, costTokens: Long, nowMs: Long) {
    val row = usageOf(subscriber, nowMs)
    row.ownCostTokens = maxOf(0.0, row.ownCostTokens + costTokens)
}

/** Usage of [subscriber] above the mean of the subscribers with usage; zero for one below it. */
fun World.excessUsage(subscriber: SubscriberId): Double {
    val row = subscribers[subscriber] ?: return 0.0
    return maxOf(0.0, row.costTokens - process.meanUsageTokens)
}

/** Whether [subscriber] uses several times as much as the mean of the subscribers with usage. */
fun World.isHeavy(subscriber: SubscriberId): Boolean {
    val row = subscribers[subscriber] ?: return false
    return row.costTokens > process.meanUsageTokens * HEAVY_FACTOR
}

private val SubscriberUsage.costTokens: Double
    get() = ownCostTokens + peerCostTokens

private fun SubscriberUsage.decay(nowMs: Long) {
    if (nowMs <= decayedAtMs) return
    val factor = 0.5.pow((nowMs - decayedAtMs).toDouble() / USAGE_HALF_LIFE_MS)
    ownCostTokens *= factor
    peerCostTokens *= factor
    reportedByVm.replaceAll { _, tokens -> tokens * factor }
    decayedAtMs = nowMs
}
