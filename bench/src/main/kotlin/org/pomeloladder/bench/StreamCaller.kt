/*
 * Makes one streamed call as a caller does, and notes when its first token and its end arrived.
 */
package org.pomeloladder.bench

import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ExecutionException
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.eclipse.jetty.client.HttpClient
import org.http4k.client.JettyClient
import org.http4k.core.BodyMode
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.pomeloladder.configuration.Address
import org.pomeloladder.daemon.EntryListResponse
import org.pomeloladder.standins.expectedAnswer

private const val MAX_CONNECTIONS = 4_096
private const val CONNECT_TIMEOUT_MS = 2_000L
private const val IDLE_TIMEOUT_MS = 60_000L
private const val DIRECTORY_VALID_NANOS = 2_000_000_000L
private const val DATA_FIELD = "data: "

/** How a call ended. */
enum class CallEnd {
    /** The whole expected answer arrived. */
    WHOLE,

    /** Refused before the first token. */
    REFUSED,

    /** Cut off after the first token, or a wrong answer. */
    BROKEN,
}

/** Times are those of [System.nanoTime]; [firstTokenNanos] is null when no token arrived. */
data class CallOutcome(val end: CallEnd, val firstTokenNanos: Long?, val endNanos: Long)

/** Where a caller sends its calls, in order of preference. */
fun interface EntrySource {
    fun entries(call: Call): List<Address>
}

/** The entry directory of [daemons], asked anew when an answer is 2 s old. */
class DirectorySource(private val daemons: () -> Collection<DaemonProcess>) : EntrySource {
    private data class Key(val apiKey: String, val domain: String?)

    private class Known(val addresses: List<Address>, val atNanos: Long)

    private val known = ConcurrentHashMap<Key, Known>()

    override fun entries(call: Call): List<Address> {
        val key = Key(call.apiKey, call.domain)
        val now = System.nanoTime()
        known[key]?.let { if (now - it.atNanos < DIRECTORY_VALID_NANOS) return it.addresses }
        val first = daemons().sortedByDescending { it.record.domain.value == call.domain }
            .map { it.record.callerAddress }
        val addresses = (known[key]?.addresses.orEmpty() + first).distinct()
            .firstNotNullOfOrNull { directoryOf(it, call.apiKey) }
            .orEmpty()
            .plus(first)
            .distinct()
        known[key] = Known(addresses, now)
        return addresses
    }

    private fun directoryOf(address: Address, apiKey: String): List<Address>? = try {
        CallerClient(address, apiKey).entries().toAddresses().ifEmpty { null }
    } catch (_: SerializationException) {
        // A refusal or no answer; the caller asks the next entry VM.
        null
    }

    private fun EntryListResponse.toAddresses() = entries.map { entry ->
        val (host, port) = entry.address.split(':')
        Address(host, port.toInt())
    }
}

/** Calls the entries of [source] and checks each answer. */
class StreamCaller(private val source: EntrySource) : AutoCloseable {
    private val client = JettyClient(
        HttpClient().apply {
            maxConnectionsPerDestination = MAX_CONNECTIONS
            connectTimeout = CONNECT_TIMEOUT_MS
            idleTimeout = IDLE_TIMEOUT_MS
        },
        BodyMode.Stream,
    )

    /** Makes [call], and falls back to the next entry when one is draining or does not answer. */
    fun call(call: Call): CallOutcome {
        for (entry in source.entries(call)) attempt(entry, call)?.let { return it }
        return refused()
    }

    /** The outcome at [entry], or null when the next entry may be tried. */
    private fun attempt(entry: Address, call: Call): CallOutcome? = try {
        client(request(entry, call)).use { response ->
            when {
                response.status.successful -> read(call, response).takeIf { it.isFinal }
                isWorthNextEntry(response.bodyString()) -> null
                else -> refused()
            }
        }
    } catch (_: ExecutionException) {
        // The client reports a connection that was cut before the answer began this way.
        null
    }

    private val CallOutcome.isFinal: Boolean
        get() = end != CallEnd.REFUSED

    private fun refused() = CallOutcome(CallEnd.REFUSED, null, System.nanoTime())

    override fun close() = client.close()

    private fun request(entry: Address, call: Call) =
        Request(Method.POST, "http://$entry/v1/chat/completions")
            .header("Authorization", "Bearer ${call.apiKey}")
            .header("Content-Type", "application/json")
            .body(call.body)

    /** A body without a reason is no answer of the gateway: the connection failed. */
    private fun isWorthNextEntry(body: String) =
        "\"reason\"" !in body || "\"draining\"" in body || "\"not-ready\"" in body

    private fun read(call: Call, response: Response): CallOutcome {
        val text = StringBuilder()
        var firstNanos: Long? = null
        var isEnded = false
        try {
            for (line in response.body.stream.bufferedReader().lineSequence()) {
                if (line == DATA_FIELD + "[DONE]") {
                    isEnded = true
                    break
                }
                val token = tokenOf(line) ?: continue
                if (firstNanos == null) firstNanos = System.nanoTime()
                text.append(token)
            }
        } catch (_: IOException) {
            // The connection was cut; the answer is not whole.
            isEnded = false
        }
        val isWhole = isEnded && text.contentEquals(expectedAnswer(call.prompt, call.maxTokens))
        val end = when {
            isWhole -> CallEnd.WHOLE
            firstNanos == null -> CallEnd.REFUSED
            else -> CallEnd.BROKEN
        }
        return CallOutcome(end, firstNanos, System.nanoTime())
    }

    private fun tokenOf(line: String): String? {
        if (!line.startsWith(DATA_FIELD)) return null
        val chunk = Json.parseToJsonElement(line.removePrefix(DATA_FIELD)) as? JsonObject
        return chunk?.get("choices")?.jsonArray?.firstOrNull()?.jsonObject
            ?.get("delta")?.jsonObject?.get("content")?.jsonPrimitive?.content
    }
}
