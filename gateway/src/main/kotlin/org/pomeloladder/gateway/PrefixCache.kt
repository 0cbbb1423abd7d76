/*
 * A model of the prompt parts that one engine keeps. It follows what was sent there; the engine itself decides what it
 * keeps, so this is an estimate.
 */
package org.pomeloladder.gateway

/** Share of an engine's memory that shared parts are expected to keep beside running calls. */
private const val SHARED_PARTS_FRACTION = 0.6

/** Parts by the time of their last use, the least recently used first. */
class PrefixCache {
    private val parts = LinkedHashMap<PartId, Int>(INITIAL_PARTS, LOAD_FACTOR, true)
    private var tokens = 0L

    /** Tokens at the start of [prompt] that the engine has; a part counts only when all parts before it do. */
    fun cachedTokens(prompt: List<PromptPart>): Int {
        var sum = 0
        for (part in prompt) {
            if (part.id !in parts) return sum
            sum += part.tokens
        }
        return sum
    }

    /** Notes that the engine reads [part]. [capacityTokens] is all of its memory. */
    fun add(part: PromptPart, capacityTokens: Long) {
        val previousTokens = parts.put(part.id, part.tokens)
        tokens += part.tokens - (previousTokens ?: 0)
        val maxTokens = (capacityTokens * SHARED_PARTS_FRACTION).toLong()
        val leastRecentlyUsed = parts.entries.iterator()
        while (tokens > maxTokens && leastRecentlyUsed.hasNext()) {
            tokens -= leastRecentlyUsed.next().value
            leastRecentlyUsed.remove()
        }
    }

    fun clear() {
        parts.clear()
        tokens = 0
    }

    private companion object {
        const val INITIAL_PARTS = 64
        const val LOAD_FACTOR = 0.75f
    }
}
