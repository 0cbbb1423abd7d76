/*
 * The queue of one backend server at its owner. Which attempt goes next is the policy's choice.
 */
package org.pomeloladder.decisions

/** Attempts that wait for a place at one backend server. */
interface WorkQueue {
    val size: Int

    fun offer(world: World, attempt: Attempt)

    /** Removes and returns the attempt to dispatch next to [server], or null when none may be dispatched now. */
    fun poll(world: World, server: BackendServer): Attempt?

    /** Takes [attempt] out; returns whether it was there. */
    fun remove(attempt: AttemptId): Boolean

    /** Every waiting attempt, in no particular order. */
    fun waiting(): List<Attempt>

    /** Cost of the work that would be dispatched before a new attempt with [spec]. */
    fun costAhead(spec: RequestSpec): Long

    /** The waiting attempt that gives way to [attempt] when the queue is full, or null when [attempt] is refused. */
    fun displacedBy(attempt: Attempt): Attempt?
}

/** Creates queues, so that experiments can run another policy. */
fun interface QueuePolicy {
    fun newQueue(): WorkQueue
}

/** First come, first served: the baseline. */
class FifoQueue : WorkQueue {
    private val attempts = ArrayDeque<Attempt>()

    override val size: Int
        get() = attempts.size

    override fun offer(world: World, attempt: Attempt) = attempts.addLast(attempt)

    override fun poll(world: World, server: BackendServer): Attempt? =
        if (server.freeSlots > 0) attempts.removeFirstOrNull() else null

    override fun remove(attempt: AttemptId): Boolean = attempts.removeIf { it.id == attempt }

    override fun waiting(): List<Attempt> = attempts.toList()

    override fun costAhead(spec: RequestSpec): Long = attempts.sumOf { it.spec.costTokens }

    override fun displacedBy(attempt: Attempt): Attempt? = null
}
