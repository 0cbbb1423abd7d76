/*
 * JSON formats of model engines: the chat completions protocol with server-sent events.
 */
package org.pomeloladder.daemon

import java.io.BufferedReader
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** The daemon's JSON format: unknown fields are ignored and default values are written. */
val daemonJson = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    explicitNulls = false
}

internal const val END_OF_STREAM = "[DONE]"

/** The data of one server-sent event from an engine. */
@Serializable
internal data class EngineChunk(
    val choices: List<EngineChoice> = emptyList(),
    val usage: EngineUsage? = null,
)

@Serializable
internal data class EngineChoice(
    val delta: EngineDelta = EngineDelta(),
    @SerialName("finish_reason") val finishReason: String? = null,
)

@Serializable
internal data class EngineDelta(val content: String? = null)

@Serializable
internal data class EngineUsage(
    @SerialName("prompt_tokens") val promptTokens: Int = 0,
    @SerialName("completion_tokens") val completionTokens: Int = 0,
    @SerialName("prompt_tokens_details") val promptTokensDetails: EngineTokenDetails? = null,
)

@Serializable
internal data class EngineTokenDetails(@SerialName("cached_tokens") val cachedTokens: Int = 0)

/** The body of `PUT /models`: the models to load and the fencing token of the engine order. */
@Serializable
internal data class EngineModels(val models: List<String>, val fencing: Long)

/** Reads the `data` fields of server-sent events until the stream ends. */
internal fun BufferedReader.serverSentEvents(): Sequence<String> =
    lineSequence().filter { it.startsWith(DATA_FIELD) }.map { it.removePrefix(DATA_FIELD).trim() }

private const val DATA_FIELD = "data:"

/**
 * Creates the request body for an engine from the caller's body, always with streaming enabled. A
 * non-empty [deliveredText] lets an engine that does not know the attempt continue after the text
 * that the caller already has.
 */
internal fun engineBody(payload: ByteArray, deliveredText: String): String {
    val body = daemonJson.parseToJsonElement(payload.decodeToString()) as JsonObject
    val fields = LinkedHashMap<String, JsonElement>(body)
    fields["stream"] = JsonPrimitive(true)
    if (deliveredText.isNotEmpty()) fields["continue_from"] = JsonPrimitive(deliveredText)
    return JsonObject(fields).toString()
}
