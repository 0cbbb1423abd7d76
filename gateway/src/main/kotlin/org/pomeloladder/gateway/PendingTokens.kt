/*
 * Counts the prompt tokens that wait at a server, by the priority of their calls. Engines admit
 * more urgent calls first, so a call waits only for calls that are at least as urgent.
 */
package org.pomeloladder.gateway

/** Tokens by priority; 0 is the most urgent. Priorities beyond the maximum count as the maximum. */
class PendingTokens {
    private val byPriority = LongArray(PRIORITIES)

    val total: Long
        get() = byPriority.sum()

    fun add(priority: Int, tokens: Long) {
        byPriority[priority.coerceIn(0, PRIORITIES - 1)] += tokens
    }

    fun add(tokensByPriority: List<Long>) = tokensByPriority.forEachIndexed(::add)

    fun clear() = byPriority.fill(0)

    /** Returns the tokens for which a call of [priority] waits. */
    fun upTo(priority: Int): Long =
        (0..priority.coerceIn(0, PRIORITIES - 1)).sumOf { byPriority[it] }

    /** Returns the tokens by priority, without trailing zeros. */
    fun toList(): List<Long> = byPriority.toList().dropLastWhile { it == 0L }

    private companion object {
        const val PRIORITIES = 10
    }
}
