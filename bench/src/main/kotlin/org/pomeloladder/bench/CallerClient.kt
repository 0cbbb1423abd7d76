/*
 * A caller of the gateway, as a kiosk or a counter is one.
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

/** Calls the entry VM at [address] with [apiKey]. */
class CallerClient(val address: Address, private val apiKey: String) {
    /** The entry directory's answer. */
    fun entries(): EntryListResponse =
        json.decodeFromString(send(Request(Method.GET, url("/v1/entries"))).bodyString())

    /** The whole answer to [prompt], or the refusal as text. */
    fun chat(prompt: String, maxTokens: Int): String {
        val response = chatResponse(prompt, maxTokens)
        if (!response.status.successful) return "${response.status.code} ${response.bodyString()}"
        return json.parseToJsonElement(response.bodyString()).jsonObject
            .getValue("choices").jsonArray.first().jsonObject
            .getValue("message").jsonObject
            .getValue("content").jsonPrimitive.content
    }

    /** The raw answer to a chat request. */
    fun chatResponse(prompt: String, maxTokens: Int, isStreamed: Boolean = false): Response {
        val body = chatBody(prompt, maxTokens, isStreamed)
        return send(Request(Method.POST, url("/v1/chat/completions")).body(body.toString()))
    }

    /** Sends an order and returns status and body. */
    fun order(key: String): String =
        orderResponse(key).let { "${it.status.code} ${it.bodyString()}" }

    fun orderResponse(key: String): Response = send(
        Request(Method.POST, url("/v1/orders"))
            .header("Idempotency-Key", key)
            .body("""{"service":"orders","order":{"item":"crab roll","count":1}}"""),
    )

    /** Looks an order up. */
    fun lookUp(key: String): Response = send(Request(Method.GET, url("/v1/orders/$key")))

    /** Withdraws an order. */
    fun withdraw(key: String): Response = send(Request(Method.DELETE, url("/v1/orders/$key")))

    private fun url(path: String) = "http://$address$path"

    private fun send(request: Request) = http(request.header("Authorization", "Bearer $apiKey"))

    private companion object {
        val json = Json { ignoreUnknownKeys = true }
        val http = JettyClient()
    }
}

/** The body of a chat request with one user message. */
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
