/*
 * Prompt tokens that wait at a server, by the priority of their calls. Engines admit more urgent calls first, so a call
 * waits only for those that are as urgent as itself.
 */
package org.pomeloladder.gateway

/** Tokens by priority; 0 is the most urgent one. Priorities beyond the last count as the last. */
class PendingTokens {
    private val byPriority = LongArray(PRIORITIES)

    val total: Long
        get() = byPriority.sum()

    fun add(priority: Int, tokens: Long) {
        byPriority[priority.coerceIn(0, PRIORITIES - 1)] += tokens
    }

    fun add(tokensByPriority: List<Long>) = tokensByPriority.forEachIndexed(::add)

    fun clear() = byPriority.fill(0)

    /** Tokens that a call of [priority] waits for. */
    fun upTo(priority: Int): Long =
        (0..priority.coerceIn(0, PRIORITIES - 1)).sumOf { byPriority[it] }

    /** The tokens by priority, without the empty rest. */
    fun toList(): List<Long> = byPriority.toList().dropLastWhile { it == 0L }

    private companion object {
        const val PRIORITIES = 10
    }
}
