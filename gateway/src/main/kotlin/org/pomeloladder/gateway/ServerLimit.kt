/*
 * The limit that a backend server in need names in its answers: the calls a second that it takes
 * from all processes together. Processes tell each other what they observe, and each uses a share
 * that needs no agreement: the shares of all processes of a region add up to at most the limit.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.decisions.LogEvent

/** A share of the limit that was not used may be used later, up to what it allows in this time. */
private const val BURST_S = 0.75

/** A lower limit counts as this one, since only an answer of the server can tell of its end. */
private const val MIN_LIMIT_PER_S = 0.25

/**
 * Number of processes, beyond the calls a second of the limit, that may send one call each at the
 * same moment without exceeding what the platform allows in four seconds.
 */
private const val EXTRA_SENDERS = 4

private const val MS_PER_S = 1_000.0

/** What is known of the limit of one server, and what this process may still use of it. */
class ServerLimit {
    /** Calls a second, or null while the server names no limit. */
    var perS: Double? = null
        private set

    /** Time of the answer, here or at a peer, from which [perS] is known. */
    var observedMs = NEVER_MS
        private set

    /** Time of the latest answer with a limit. */
    var lastLimitedMs = NEVER_MS
        private set

    /** Calls that may be sent now, in parts of a call. */
    private var tokens = 0.0
    private var refilledMs = 0L

    /**
     * Takes over what an answer said at [atMs], unless it is no limit at all. Returns whether the
     * limit began, changed or ended.
     */
    fun observe(limitPerS: Double?, atMs: Long): Boolean {
        if (atMs < observedMs) return false
        if (limitPerS != null && !(limitPerS.isFinite() && limitPerS >= 0)) return false
        observedMs = atMs
        if (limitPerS != null) lastLimitedMs = atMs
        val hasChanged = limitPerS != perS
        if (perS == null) {
            // Calls that were sent without a limit, also by an earlier process, count as well.
            tokens = 0.0
            refilledMs = atMs
        }
        perS = limitPerS
        return hasChanged
    }

    /**
     * Whether a call may be sent at [nowMs] by a process with [sharePerS] of the limit. A call that
     * [isModest] leaves half of what is saved up to others.
     */
    fun hasRoom(sharePerS: Double, nowMs: Long, isModest: Boolean): Boolean {
        val maxTokens = 1 + sharePerS * BURST_S
        val added = sharePerS * (nowMs - refilledMs).coerceAtLeast(0) / MS_PER_S
        tokens = minOf(tokens + added, maxTokens)
        refilledMs = nowMs
        return tokens >= if (isModest) (1 + maxTokens) / 2 else 1.0
    }

    /** Time until a process with [sharePerS] of the limit may send a call. */
    fun waitMs(sharePerS: Double): Double = (1 - tokens).coerceAtLeast(0.0) / sharePerS * MS_PER_S

    fun take() {
        if (perS != null) tokens -= 1
    }

    /** Gives back a call that did not reach the server. */
    fun refund() {
        if (perS != null) tokens += 1
    }
}

/**
 * Whether this process may send one more call to [backend], which counts against its share of the
 * limit if the server has named one. A limit counts calls of any size, so that one which costs
 * little elsewhere [isModest] and leaves some of it to those whose prompts are cached there.
 */
internal fun hasLimitCapacity(
    world: GatewayWorld,
    backend: Backend,
    nowMs: Long,
    isModest: Boolean = false,
): Boolean = backend.life.limit.perS == null ||
    backend.life.limit.hasRoom(limitSharePerS(world, backend, nowMs), nowMs, isModest)

/**
 * Time until the limits of the usable servers of [service] let this process send a call to one of
 * them; 0 without such servers.
 */
internal fun limitWaitMs(world: GatewayWorld, service: ServiceId, nowMs: Long): Long =
    world.backends.filter { it.record.service == service && isUsable(world, it) }
        .minOfOrNull { backend ->
            if (hasLimitCapacity(world, backend, nowMs)) {
                0.0
            } else {
                backend.life.limit.waitMs(limitSharePerS(world, backend, nowMs))
            }
        }?.toLong() ?: 0

/** Records what an answer of [backend] said of its limit at [atMs], here or at a peer. */
internal fun recordLimit(tick: GatewayTick, backend: Backend, limitPerS: Double?, atMs: Long) {
    if (!backend.life.limit.observe(limitPerS, atMs)) return
    val event = if (limitPerS != null) LogEvent.BACKEND_LIMITED else LogEvent.BACKEND_UNLIMITED
    tick.journal.log(event, mapOf("server" to backend.id, "perS" to limitPerS))
}

/**
 * Returns the calls a second that this process may send to [backend]. VMs that are silent keep their
 * shares, since they may only be cut off from this one. Where there are many VMs for the limit, the
 * first in rendezvous order have shares, so that the calls that all may send at the same moment stay
 * few.
 */
private fun limitSharePerS(world: GatewayWorld, backend: Backend, nowMs: Long): Double {
    val perS = maxOf(backend.life.limit.perS ?: 0.0, MIN_LIMIT_PER_S)
    if (isDiscovering(world, nowMs)) return 0.0
    val count = sharingVmCount(world, nowMs)
    val senders = minOf(count, (perS + EXTRA_SENDERS).toInt())
    if (senders < count && !isAmongSenders(world, backend, senders)) return 0.0
    return perS / senders
}
