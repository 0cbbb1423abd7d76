/*
 * Makes streamed calls as a caller does and records when the first token and the end arrived.
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
private const val DIRECTORY_CACHE_NANOS = 2_000_000_000L
private const val DATA_FIELD = "data: "

/** How a call ended. */
enum class CallEnd {
    /** The complete, expected answer arrived. */
    COMPLETE,

    /** The call was refused or failed before the first token. */
    REFUSED,

    /** The answer was cut off after the first token or differs from the expected one. */
    BROKEN,
}

/** Times are [System.nanoTime] values; [firstTokenNanos] is null if no token arrived. */
data class CallOutcome(val end: CallEnd, val firstTokenNanos: Long?, val endNanos: Long)

/** Provides the addresses to which a caller sends a call, in order of preference. */
fun interface EntrySource {
    fun entries(call: Call): List<Address>
}

/** Queries the entry directory of [daemons] and caches each answer for 2 s. */
class DirectorySource(private val daemons: () -> Collection<DaemonProcess>) : EntrySource {
    private data class Key(val apiKey: String, val domain: String?)

    private class CachedEntries(val addresses: List<Address>, val atNanos: Long)

    private val cache = ConcurrentHashMap<Key, CachedEntries>()

    override fun entries(call: Call): List<Address> {
        val key = Key(call.apiKey, call.domain)
        val now = System.nanoTime()
        cache[key]?.let { if (now - it.atNanos < DIRECTORY_CACHE_NANOS) return it.addresses }
        val first = daemons().sortedByDescending { it.record.domain.value == call.domain }
            .map { it.record.callerAddress }
        val addresses = (cache[key]?.addresses.orEmpty() + first).distinct()
            .firstNotNullOfOrNull { directoryOf(it, call.apiKey) }
            .orEmpty()
            .plus(first)
            .distinct()
        cache[key] = CachedEntries(addresses, now)
        return addresses
    }

    private fun directoryOf(address: Address, apiKey: String): List<Address>? = try {
        CallerClient(address, apiKey).entries().toAddresses().ifEmpty { null }
    } catch (_: SerializationException) {
        // A refusal or no answer. The caller queries the next entry VM.
        null
    }

    private fun EntryListResponse.toAddresses() = entries.map { entry ->
        val (host, port) = entry.address.split(':')
        Address(host, port.toInt())
    }
}

/** Sends calls to the entry VMs of [source] and verifies each answer. */
class StreamCaller(private val source: EntrySource) : AutoCloseable {
    private val client = JettyClient(
        HttpClient().apply {
            maxConnectionsPerDestination = MAX_CONNECTIONS
            connectTimeout = CONNECT_TIMEOUT_MS
            idleTimeout = IDLE_TIMEOUT_MS
        },
        BodyMode.Stream,
    )

    /** Makes [call], trying the next entry VM if one is draining, not ready or unreachable. */
    fun call(call: Call): CallOutcome {
        for (entry in source.entries(call)) attempt(entry, call)?.let { return it }
        return refused()
    }

    /** Returns the outcome at [entry], or null if the next entry VM should be tried. */
    private fun attempt(entry: Address, call: Call): CallOutcome? = try {
        client(request(entry, call)).use { response ->
            when {
                response.status.successful -> read(call, response).takeIf { it.isFinal }
                shouldTryNextEntry(response.bodyString()) -> null
                else -> refused()
            }
        }
    } catch (_: ExecutionException) {
        // Thrown by the client if the connection is cut before the response begins.
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

    /** A body without a reason does not come from the gateway: the connection failed. */
    private fun shouldTryNextEntry(body: String) =
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
            // The connection was cut, so the answer is incomplete.
            isEnded = false
        }
        val isComplete = isEnded && text.contentEquals(expectedAnswer(call.prompt, call.maxTokens))
        val end = when {
            isComplete -> CallEnd.COMPLETE
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
