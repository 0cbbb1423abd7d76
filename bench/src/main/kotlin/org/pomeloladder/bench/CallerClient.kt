/*
 * An HTTP client for the gateway's caller API.
 */
package org.pomeloladder.bench

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.http4k.client.JettyClient
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.pomeloladder.configuration.Address
import org.pomeloladder.daemon.EntryListResponse

/** Sends requests to the entry VM at [address], authenticated with [apiKey]. */
class CallerClient(val address: Address, private val apiKey: String) {
    /** Queries the entry directory. */
    fun entries(): EntryListResponse =
        json.decodeFromString(send(Request(Method.GET, url("/v1/entries"))).bodyString())

    /** Returns the full answer to [prompt], or the status and body of a refusal. */
    fun chat(prompt: String, maxTokens: Int): String {
        val response = chatResponse(prompt, maxTokens)
        if (!response.status.successful) return "${response.status.code} ${response.bodyString()}"
        return json.parseToJsonElement(response.bodyString()).jsonObject
            .getValue("choices").jsonArray.first().jsonObject
            .getValue("message").jsonObject
            .getValue("content").jsonPrimitive.content
    }

    /** Sends a chat request and returns the HTTP response. */
    fun chatResponse(prompt: String, maxTokens: Int, isStreamed: Boolean = false): Response {
        val body = chatBody(prompt, maxTokens, isStreamed)
        return send(Request(Method.POST, url("/v1/chat/completions")).body(body.toString()))
    }

    /** Sends an order and returns the status and body of the response. */
    fun order(key: String): String =
        orderResponse(key).let { "${it.status.code} ${it.bodyString()}" }

    fun orderResponse(key: String): Response = send(
        Request(Method.POST, url("/v1/orders"))
            .header("Idempotency-Key", key)
            .body("""{"service":"orders","order":{"item":"crab roll","count":1}}"""),
    )

    /** Looks up the state of an order. */
    fun lookUp(key: String): Response = send(Request(Method.GET, url("/v1/orders/$key")))

    /** Requests the withdrawal of an order. */
    fun withdraw(key: String): Response = send(Request(Method.DELETE, url("/v1/orders/$key")))

    private fun url(path: String) = "http://$address$path"

    private fun send(request: Request) = http(request.header("Authorization", "Bearer $apiKey"))

    private companion object {
        val json = Json { ignoreUnknownKeys = true }
        val http = JettyClient()
    }
}

/** Builds the body of a chat request with one user message. */
internal fun chatBody(prompt: String, maxTokens: Int, isStreamed: Boolean): JsonObject {
    val message = JsonObject(
        mapOf("role" to JsonPrimitive("user"), "content" to JsonPrimitive(prompt)),
    )
    return JsonObject(
        mapOf(
            "model" to JsonPrimitive("chat"),
            "messages" to JsonArray(listOf(message)),
            "max_tokens" to JsonPrimitive(maxTokens),
            "stream" to JsonPrimitive(isStreamed),
        ),
    )
}
