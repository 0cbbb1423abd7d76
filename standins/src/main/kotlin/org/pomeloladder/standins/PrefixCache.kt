/*
 * The prefix cache of [EngineStandIn]: the most recent prompts, up to a total number of tokens.
 */
package org.pomeloladder.standins

/** Holds prompts in order of last use and evicts the least recently used one first. */
internal class PrefixCache(private val maxTokens: Int) {
    private val prompts = ArrayDeque<String>()
    private var tokens = 0

    /** Length in characters of the longest prefix that [text] shares with a cached prompt. */
    @Synchronized
    fun match(text: String): Int = prompts.maxOfOrNull { it.commonPrefixWith(text).length } ?: 0

    @Synchronized
    fun add(text: String) {
        // A prompt that extends a cached one replaces it, because the two share their cache blocks.
        prompts.filter { text.startsWith(it) }.forEach(::drop)
        prompts.addLast(text)
        tokens += text.length / CHARACTERS_PER_TOKEN
        while (tokens > maxTokens && prompts.size > 1) drop(prompts.first())
    }

    @Synchronized
    fun clear() {
        prompts.clear()
        tokens = 0
    }

    private fun drop(prompt: String) {
        prompts.remove(prompt)
        tokens -= prompt.length / CHARACTERS_PER_TOKEN
    }
}
