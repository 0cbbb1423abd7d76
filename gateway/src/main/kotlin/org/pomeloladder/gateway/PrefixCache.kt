/*
 * Models which prompt parts one engine has cached. The model follows what was sent to the engine,
 * which decides itself what it keeps; so this is an estimate.
 */
package org.pomeloladder.gateway

/** Fraction of an engine's memory that shared parts are expected to occupy beside running calls. */
private const val SHARED_PARTS_FRACTION = 0.6

/** Cached parts, evicted in order of least recent use. */
class PrefixCache {
    private val parts = LinkedHashMap<PartId, Int>(INITIAL_PARTS, LOAD_FACTOR, true)
    private var tokens = 0L

    /**
     * Returns the number of tokens at the start of [prompt] that are cached. A part counts only
     * when all parts before it are cached.
     */
    fun cachedTokens(prompt: List<PromptPart>): Int {
        var sum = 0
        for (part in prompt) {
            if (part.id !in parts) return sum
            sum += part.tokens
        }
        return sum
    }

    /**
     * Records that the engine processes [part]. [capacityTokens] is the size of its whole memory.
     */
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

    private companion object {
        const val INITIAL_PARTS = 64
        const val LOAD_FACTOR = 0.75f
    }
}
