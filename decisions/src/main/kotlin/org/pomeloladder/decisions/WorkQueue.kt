/*
 * The queue that the owner of a backend server keeps for it. The order of dispatch depends on the
 * queue policy.
 */
package org.pomeloladder.decisions

/** Attempts that wait for a free slot at one backend server. */
interface WorkQueue {
    val size: Int

    fun offer(world: World, attempt: Attempt)

    /**
     * Removes and returns the next attempt to dispatch to [server], or returns null if none may be
     * dispatched now.
     */
    fun poll(world: World, server: BackendServer): Attempt?

    /** Removes [attempt] and returns whether it was in the queue. */
    fun remove(attempt: AttemptId): Boolean

    /** Returns all waiting attempts in no particular order. */
    fun waiting(): List<Attempt>

    /** Returns the cost of the work that would be dispatched before a new attempt with [spec]. */
    fun costAhead(spec: RequestSpec): Long

    /**
     * Returns the waiting attempt to evict in favour of [attempt] when the queue is full, or null
     * if [attempt] is to be refused instead.
     */
    fun displacedBy(attempt: Attempt): Attempt?
}

/** Creates work queues. Experiments use it to replace the queue policy. */
fun interface QueuePolicy {
    fun newQueue(): WorkQueue
}

/** A first-in, first-out queue, used as the baseline in experiments. */
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
