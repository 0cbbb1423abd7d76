/*
 * Tracks the decayed usage of subscribers: the work that this process dispatched for each of them,
 * plus the usage reported by peers of the same failure domain. With it, a subscriber's fair share
 * does not depend on which entry VM it calls.
 */
package org.pomeloladder.decisions

import kotlin.math.pow
import org.pomeloladder.configuration.SubscriberId

/** Half-life of the exponential decay of usage. */
const val USAGE_HALF_LIFE_MS = 60_000L

/** A subscriber above this multiple of the mean usage is heavy. A sole subscriber never is. */
private const val HEAVY_FACTOR = 2.0

/** Interval at which rows are decayed and small ones are removed. */
private const val USAGE_SCAN_MS = 1_000L

/** A row with less usage than this does not influence any decision and is removed. */
private const val MIN_USAGE_TOKENS = 1.0

/**
 * Maintains the table of subscriber usage. Runs before the completion system, which removes the
 * rows of ended attempts.
 */
class UsageSystem : TickSystem {
    private var nextScanMs = 0L

    override fun run(world: World, tick: Tick) {
        tick.each<PeerControl> { event ->
            val message = event.message
            if (message is Heartbeat) applyHeartbeat(world, tick, event, message)
        }
        tick.each<AttemptEnded> { correctCharge(world, tick, it) }
        decayAll(world, tick)
    }

    private fun applyHeartbeat(world: World, tick: Tick, event: PeerControl, heartbeat: Heartbeat) {
        val peer = world.entryVms[event.from] ?: return
        if (peer.record.domain != world.self.domain) return
        for (load in heartbeat.heaviest.take(MAX_REPORTED_SUBSCRIBERS)) {
            val row = world.usageOf(load.subscriber, tick.nowMs)
            row.reportedByVm[event.from] = load.costTokens.toDouble()
            row.peerCostTokens = row.reportedByVm.values.sum()
        }
    }

    /** Replaces the estimate that was charged at dispatch with the actual usage of the attempt. */
    private fun correctCharge(world: World, tick: Tick, event: AttemptEnded) {
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

    private fun decayAll(world: World, tick: Tick) {
        if (tick.nowMs >= nextScanMs) {
            nextScanMs = tick.nowMs + USAGE_SCAN_MS
            for (row in world.subscribers) row.decay(tick.nowMs)
            world.subscribers.removeIf {
                it.costTokens < MIN_USAGE_TOKENS
            }
            val total = world.subscribers.sumOf { it.costTokens }
            world.process.meanUsageTokens = total / maxOf(1, world.subscribers.size)
        }
        if (world.subscribers.size > 0) tick.wakeAt(nextScanMs)
    }
}

/** Returns the row of [subscriber], decayed to [nowMs]; adds it when there is none. */
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

/**
 * Returns the usage of [subscriber] above the mean of all rows, or zero when it is below the mean.
 */
fun World.excessUsage(subscriber: SubscriberId): Double {
    val row = subscribers[subscriber] ?: return 0.0
    return maxOf(0.0, row.costTokens - process.meanUsageTokens)
}

/** Whether the usage of [subscriber] exceeds [HEAVY_FACTOR] times the mean of all rows. */
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
