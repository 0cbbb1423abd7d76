/*
 * The prefix cache of an engine stand-in: recently seen prompts, within a limit of tokens.
 */
package org.pomeloladder.standins

/** Prompts in order of use; the least recently used one goes first. */
internal class PrefixCache(private val maxTokens: Int) {
    private val prompts = ArrayDeque<String>()
    private var tokens = 0

    /** Characters of the longest common prefix of [text] and any cached prompt. */
    @Synchronized
    fun match(text: String): Int = prompts.maxOfOrNull { it.commonPrefixWith(text).length } ?: 0

    @Synchronized
    fun add(text: String) {
        // A prompt that extends a cached one replaces it, as both share their blocks.
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
