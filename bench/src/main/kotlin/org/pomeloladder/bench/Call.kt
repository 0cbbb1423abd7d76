/*
 * One call of a load experiment and the text of its prompt.
 */
package org.pomeloladder.bench

import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray

private const val CHARACTERS_PER_TOKEN = 4

/**
 * A call due [atMs] after the start of its run. Results are grouped by [kind]. A call that is not
 * [isMeasured] only adds load, and the run does not wait for it. [domain] is the failure domain
 * whose entry VMs the caller tries first.
 */
data class Call(
    val atMs: Double,
    val kind: String,
    val apiKey: String,
    val messages: List<String>,
    val maxTokens: Int,
    val isMeasured: Boolean = true,
    val domain: String? = null,
) {
    /** The prompt as an engine receives it. */
    val prompt: String
        get() = messages.joinToString("\n")

    internal val body: String
        get() = buildJsonObject {
            put("model", "chat")
            put("max_tokens", maxTokens)
            put("stream", true)
            putJsonArray("messages") {
                messages.forEachIndexed { index, text ->
                    addJsonObject {
                        put("role", if (index == 0) "system" else "user")
                        put("content", text)
                    }
                }
            }
        }.toString()
}

/** Returns a text of [tokens] tokens that starts with [id], so that no two ids share a prefix. */
internal fun promptOf(id: String, tokens: Int): String =
    "$id ".padEnd(tokens * CHARACTERS_PER_TOKEN, 'x')
