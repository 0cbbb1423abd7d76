/*
 * The fair queue of one backend server: start-time fair queueing over subscriber groups by weight, and over the
 * subscribers within a group, in units of cost tokens. Short and long work wait in lanes of their own, so that short
 * work never waits behind long work in the queue.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.SubscriberGroupId
import org.pomeloladder.configuration.SubscriberId

/** Work with an estimated cost below this is short. */
const val SHORT_COST_TOKENS = 2_000L

/** Short attempts that may go ahead of a long one that has a slot, so that long work is not starved. */
private const val SHORT_BURST = 4

/** Part of a window that only short work may use. */
private const val RESERVE_DIVISOR = 4

/** Part of a window that a heavy subscriber may use. */
private const val HEAVY_DIVISOR = 4

/** Whether the estimated cost is below [SHORT_COST_TOKENS]. */
val RequestSpec.isShort: Boolean
    get() = costTokens < SHORT_COST_TOKENS

/** Whether the prompt alone takes long to process. */
val RequestSpec.hasLongPrompt: Boolean
    get() = promptTokens >= SHORT_COST_TOKENS

/** Slots of a window that long work leaves free. A window of 1 has none, because long work could never run. */
fun reservedShortSlots(windowSize: Int): Int =
    if (windowSize <= 1) 0 else maxOf(1, windowSize / RESERVE_DIVISOR)

/**
 * Whether the server may take one more attempt that costs as much as [spec]. A second long prompt waits for the first
 * token of the one before, because an engine processes prompts one after another and short work would wait for both.
 */
fun BackendServer.hasSlotForLong(spec: RequestSpec): Boolean =
    longAttemptsInFlight < windowSize - reservedShortSlots(windowSize) &&
        !(spec.hasLongPrompt && longPromptsPending > 0)

/**
 * Whether the server may take one more attempt of [subscriber]. A heavy one is held to a part of the window: its queue
 * never empties, so without the limit every other subscriber would wait for a slot, and for its prompts in the batch.
 */
private fun BackendServer.hasSlotFor(world: World, subscriber: SubscriberId): Boolean {
    val inFlight = inFlightBySubscriber[subscriber] ?: return true
    return inFlight < maxOf(1, windowSize / HEAVY_DIVISOR) || !world.isHeavy(subscriber)
}

/** The queue of production. */
class FairQueue : WorkQueue {
    private val short = FairLane()
    private val long = FairLane()
    private var shortsAhead = 0

    override val size: Int
        get() = short.size + long.size

    override fun offer(world: World, attempt: Attempt) = laneOf(attempt.spec).offer(world, attempt)

    override fun poll(world: World, server: BackendServer): Attempt? {
        if (server.freeSlots <= 0) return null
        val mayRun = { id: SubscriberId -> server.hasSlotFor(world, id) }
        val nextLong = long.peek(mayRun)?.takeIf { server.hasSlotForLong(it.spec) }
        val nextShort = short.peek(mayRun)
        val isLongTurn = nextShort == null || shortsAhead >= SHORT_BURST
        if (nextLong != null && isLongTurn) {
            shortsAhead = 0
            return long.poll(mayRun)
        }
        shortsAhead = if (nextLong == null) 0 else shortsAhead + 1
        return short.poll(mayRun)
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

/** A backlogged party with its start tag in virtual time; after a dispatch the tag is the finish tag of that work. */
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

    /** The flow with the lowest tag among the waiting ones of subscribers that [mayRun]. */
    fun next(mayRun: (SubscriberId) -> Boolean): SubscriberFlow? = subscribers.entries
        .filter { it.value.items.isNotEmpty() && mayRun(it.key) }
        .minByOrNull { it.value.startTag }
        ?.value
}

/** Start-time fair queueing in two levels. Equal tags are served in order of arrival, so that runs can be repeated. */
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
            val entry = group.virtualTime + world.excessUsage(id)
            flow.startTag = maxOf(flow.startTag, entry)
        }
        flow.items.addLast(attempt)
        size += 1
    }

    fun peek(mayRun: (SubscriberId) -> Boolean): Attempt? =
        nextGroup(mayRun)?.next(mayRun)?.items?.first()

    fun poll(mayRun: (SubscriberId) -> Boolean): Attempt? {
        val group = nextGroup(mayRun) ?: return null
        val flow = group.next(mayRun) ?: return null
        val attempt = flow.items.removeFirst()
        // A flow that was held back has an old tag, and virtual time must not go back to it.
        virtualTime = maxOf(virtualTime, group.startTag)
        group.virtualTime = maxOf(group.virtualTime, flow.startTag)
        group.startTag += attempt.spec.costTokens.toDouble() / group.weight
        flow.startTag += attempt.spec.costTokens
        size -= 1
        forgetIdle(group)
        return attempt
    }

    fun remove(id: AttemptId): Boolean {
        for (group in groups.values) {
            for (flow in group.subscribers.values) {
                if (!flow.items.removeIf { it.id == id }) continue
                size -= 1
                forgetIdle(group)
                return true
            }
        }
        return false
    }

    fun waiting(): List<Attempt> = flows().flatMap { it.value.items }

    /** Until the work of [spec] is served, every other subscriber gets at most as much as its own. */
    fun costAhead(spec: RequestSpec): Long {
        val own = flows().firstOrNull { it.key == spec.subscriber }?.value?.costTokens ?: 0
        val others = flows().filter { it.key != spec.subscriber }
        return own + others.sumOf { minOf(it.value.costTokens, own + spec.costTokens) }
    }

    /** The last attempt of the subscriber that waits with most, unless [newcomer] would then wait with as many. */
    fun displacedBy(newcomer: SubscriberId): Attempt? {
        val own = flows().firstOrNull { it.key == newcomer }?.value?.items?.size ?: 0
        val longest = flows().maxByOrNull { it.value.items.size }?.value ?: return null
        return longest.items.lastOrNull()?.takeIf { longest.items.size > own + 1 }
    }

    private fun flows() = groups.values.flatMap { it.subscribers.entries }

    private fun nextGroup(mayRun: (SubscriberId) -> Boolean) =
        groups.values.filter { it.next(mayRun) != null }.minByOrNull { it.startTag }

    /** A flow whose tag virtual time has passed would start anew with the same tag, so it need not be kept. */
    private fun forgetIdle(group: GroupFlow) {
        if (size == 0) {
            groups.clear()
            return
        }
        group.subscribers.values.removeIf {
            it.items.isEmpty() && it.startTag <= group.virtualTime
        }
    }
}
