/*
 * JSON formats of the HTTP API for callers.
 */
package org.pomeloladder.daemon

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** The fields of a chat request that the gateway reads. The engine receives all fields. */
@Serializable
internal data class ChatRequest(
    val model: String,
    val messages: List<ChatMessage>,
    @SerialName("max_tokens") val maxTokens: Int? = null,
    val stream: Boolean = false,
)

@Serializable
internal data class ChatMessage(val role: String, val content: String)

/** The fields of an order that the gateway reads. */
@Serializable
internal data class OrderRequest(val service: String, val order: JsonElement)

@Serializable
internal data class ChatChunk(
    val id: String,
    val `object`: String = "chat.completion.chunk",
    val model: String,
    val choices: List<ChunkChoice>,
    val usage: ChatUsage? = null,
)

@Serializable
internal data class ChunkChoice(
    val index: Int = 0,
    val delta: ChunkDelta,
    @SerialName("finish_reason") val finishReason: String? = null,
)

@Serializable
internal data class ChunkDelta(val content: String? = null)

@Serializable
internal data class ChatResponse(
    val id: String,
    val `object`: String = "chat.completion",
    val model: String,
    val choices: List<ResponseChoice>,
    val usage: ChatUsage,
)

@Serializable
internal data class ResponseChoice(
    val index: Int = 0,
    val message: ChatMessage,
    @SerialName("finish_reason") val finishReason: String,
)

@Serializable
internal data class ChatUsage(
    @SerialName("prompt_tokens") val promptTokens: Int,
    @SerialName("completion_tokens") val completionTokens: Int,
    @SerialName("total_tokens") val totalTokens: Int,
    @SerialName("cached_tokens") val cachedTokens: Int,
)

/** The body of every refusal. [ErrorDetail.run] is `not-run` or `unknown`. */
@Serializable
data class ErrorResponse(val error: ErrorDetail)

@Serializable
data class ErrorDetail(
    val reason: String,
    val run: String,
    val detail: String = "",
    val requestId: String? = null,
    val retryAfterMs: Long? = null,
    val homeToken: String? = null,
)

/** The response of the entry directory. */
@Serializable
data class EntryListResponse(val validMs: Long, val entries: List<EntryListItem>)

@Serializable
data class EntryListItem(val vm: String, val address: String, val homeToken: String?)
