/*
 * The fair queue of one backend server: start-time fair queueing in units of cost tokens, first
 * over subscriber groups by weight and then over the subscribers of a group. Short and long work
 * have separate lanes, so that short work never queues behind long work.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.SubscriberGroupId
import org.pomeloladder.configuration.SubscriberId

/** Work with an estimated cost below this many tokens is short; other work is long. */
const val SHORT_COST_TOKENS = 2_000L

/**
 * Maximum number of short attempts dispatched in a row while a long one could be dispatched, so
 * that long work is not starved.
 */
private const val MAX_SHORT_BURST = 4

/** One in this many slots of a window is reserved for short work. */
private const val SHORT_RESERVE_DIVISOR = 4

/** A heavy subscriber may use one in this many slots of a window. */
private const val HEAVY_SUBSCRIBER_DIVISOR = 4

/** Whether the estimated cost is below [SHORT_COST_TOKENS]. */
val RequestSpec.isShort: Boolean
    get() = costTokens < SHORT_COST_TOKENS

/** Whether the prompt alone costs at least [SHORT_COST_TOKENS]. */
val RequestSpec.hasLongPrompt: Boolean
    get() = promptTokens >= SHORT_COST_TOKENS

/**
 * Returns the number of slots reserved for short work in a window of [windowSize]. A window of 1
 * reserves none, because long work could never run.
 */
fun reservedShortSlots(windowSize: Int): Int =
    if (windowSize <= 1) 0 else maxOf(1, windowSize / SHORT_RESERVE_DIVISOR)

/**
 * Whether the server may take one more long attempt with [spec]. A second long prompt waits until
 * the first one has produced its first token, because an engine processes prompts one after
 * another and short work would wait for both.
 */
fun BackendServer.hasSlotForLong(spec: RequestSpec): Boolean =
    longAttemptsInFlight < windowSize - reservedShortSlots(windowSize) &&
        !(spec.hasLongPrompt && longPromptsPending > 0)

/**
 * Whether the server may take one more attempt of [subscriber]. A heavy subscriber is limited to
 * part of the window. Its queue never empties, so without the limit every other subscriber would
 * wait for a slot and then for the heavy subscriber's prompts in the same batch.
 */
private fun BackendServer.hasSlotFor(world: World, subscriber: SubscriberId): Boolean {
    val inFlight = inFlightBySubscriber[subscriber] ?: return true
    return inFlight < maxOf(1, windowSize / HEAVY_SUBSCRIBER_DIVISOR) || !world.isHeavy(subscriber)
}

/** The default queue: weighted fair queueing with separate lanes for short and long work. */
class FairQueue : WorkQueue {
    private val short = FairLane()
    private val long = FairLane()
    private var shortsSinceLong = 0

    override val size: Int
        get() = short.size + long.size

    override fun offer(world: World, attempt: Attempt) = laneOf(attempt.spec).offer(world, attempt)

    override fun poll(world: World, server: BackendServer): Attempt? {
        if (server.freeSlots <= 0) return null
        val mayDispatch = { id: SubscriberId -> server.hasSlotFor(world, id) }
        val nextLong = long.peek(mayDispatch)?.takeIf { server.hasSlotForLong(it.spec) }
        val nextShort = short.peek(mayDispatch)
        val isLongTurn = nextShort == null || shortsSinceLong >= MAX_SHORT_BURST
        if (nextLong != null && isLongTurn) {
            shortsSinceLong = 0
            return long.poll(mayDispatch)
        }
        shortsSinceLong = if (nextLong == null) 0 else shortsSinceLong + 1
        return short.poll(mayDispatch)
    }

    override fun remove(attempt: AttemptId): Boolean = short.remove(attempt) || long.remove(attempt)

    override fun waiting(): List<Attempt> = short.waiting() + long.waiting()

    override fun costAhead(spec: RequestSpec): Long = laneOf(spec).costAhead(spec)

    override fun displacedBy(attempt: Attempt): Attempt? {
        val lane = if (short.size > long.size) short else long
        return lane.displacedBy(attempt.spec.subscriber)
    }

    private fun laneOf(spec: RequestSpec) = if (spec.isShort) short else long
}

/**
 * A group or subscriber in the queue with its start tag in virtual time. A dispatch moves the tag
 * to the finish tag of the dispatched work.
 */
private open class Flow {
    var startTag = 0.0
}

private class SubscriberFlow : Flow() {
    val items = ArrayDeque<Attempt>()
    val costTokens: Long
        get() = items.sumOf { it.spec.costTokens }
}

private class GroupFlow(var weight: Int) : Flow() {
    val subscribers = LinkedHashMap<SubscriberId, SubscriberFlow>()
    var virtualTime = 0.0

    val hasWaiting: Boolean
        get() = subscribers.values.any { it.items.isNotEmpty() }

    /** Returns the waiting flow with the lowest start tag whose subscriber passes [mayDispatch]. */
    fun next(mayDispatch: (SubscriberId) -> Boolean): SubscriberFlow? = subscribers.entries
        .filter { it.value.items.isNotEmpty() && mayDispatch(it.key) }
        .minByOrNull { it.value.startTag }
        ?.value
}

/**
 * Two-level start-time fair queueing. Equal tags are served in order of arrival, which keeps runs
 * reproducible.
 */
private class FairLane {
    private val groups = LinkedHashMap<SubscriberGroupId?, GroupFlow>()
    private var virtualTime = 0.0

    var size = 0
        private set

    fun offer(world: World, attempt: Attempt) {
        val id = attempt.spec.subscriber
        val document = world.configuration.document
        val groupId = document?.subscribers?.get(id)?.group
        val weight = maxOf(1, document?.groups?.get(groupId)?.weight ?: 1)
        val group = groups.getOrPut(groupId) { GroupFlow(weight) }
        group.weight = weight
        if (!group.hasWaiting) group.startTag = maxOf(group.startTag, virtualTime)
        val flow = group.subscribers.getOrPut(id) { SubscriberFlow() }
        if (flow.items.isEmpty()) {
            val entryTag = group.virtualTime + world.excessUsage(id)
            flow.startTag = maxOf(flow.startTag, entryTag)
        }
        flow.items.addLast(attempt)
        size += 1
    }

    fun peek(mayDispatch: (SubscriberId) -> Boolean): Attempt? =
        nextGroup(mayDispatch)?.next(mayDispatch)?.items?.first()

    fun poll(mayDispatch: (SubscriberId) -> Boolean): Attempt? {
        val group = nextGroup(mayDispatch) ?: return null
        val flow = group.next(mayDispatch) ?: return null
        val attempt = flow.items.removeFirst()
        // A flow that was skipped by mayDispatch has an old tag; virtual time must not go
        // backwards.
        virtualTime = maxOf(virtualTime, group.startTag)
        group.virtualTime = maxOf(group.virtualTime, flow.startTag)
        group.startTag += attempt.spec.costTokens.toDouble() / group.weight
        flow.startTag += attempt.spec.costTokens
        size -= 1
        removeIdleFlows(group)
        return attempt
    }

    fun remove(id: AttemptId): Boolean {
        for (group in groups.values) {
            for (flow in group.subscribers.values) {
                if (!flow.items.removeIf { it.id == id }) continue
                size -= 1
                removeIdleFlows(group)
                return true
            }
        }
        return false
    }

    fun waiting(): List<Attempt> = flows().flatMap { it.value.items }

    /**
     * Returns the cost of the work served before [spec]. Until then, fair queueing gives every
     * other subscriber at most as much service as the subscriber of [spec].
     */
    fun costAhead(spec: RequestSpec): Long {
        val own = flows().firstOrNull { it.key == spec.subscriber }?.value?.costTokens ?: 0
        val others = flows().filter { it.key != spec.subscriber }
        return own + others.sumOf { minOf(it.value.costTokens, own + spec.costTokens) }
    }

    /**
     * Returns the last attempt of the subscriber with the most waiting attempts, or null when
     * [newcomer] would then have at least as many.
     */
    fun displacedBy(newcomer: SubscriberId): Attempt? {
        val own = flows().firstOrNull { it.key == newcomer }?.value?.items?.size ?: 0
        val longest = flows().maxByOrNull { it.value.items.size }?.value ?: return null
        return longest.items.lastOrNull()?.takeIf { longest.items.size > own + 1 }
    }

    private fun flows() = groups.values.flatMap { it.subscribers.entries }

    private fun nextGroup(mayDispatch: (SubscriberId) -> Boolean) =
        groups.values.filter { it.next(mayDispatch) != null }.minByOrNull { it.startTag }

    /**
     * Removes empty flows whose start tag virtual time has passed. Such a flow would get the
     * current virtual time as its tag in any case when work arrives for it again.
     */
    private fun removeIdleFlows(group: GroupFlow) {
        if (size == 0) {
            groups.clear()
            return
        }
        group.subscribers.values.removeIf {
            it.items.isEmpty() && it.startTag <= group.virtualTime
        }
    }
}
