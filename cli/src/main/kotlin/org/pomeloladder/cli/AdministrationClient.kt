/*
 * Client of the administration API of an entry VM.
 */
package org.pomeloladder.cli

import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeoutException
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.eclipse.jetty.client.HttpClient
import org.http4k.client.JettyClient
import org.http4k.core.Method
import org.http4k.core.Request
import org.pomeloladder.daemon.ErrorDetail
import org.pomeloladder.daemon.ErrorResponse

private const val CONNECT_TIMEOUT_MS = 2_000L
private const val IDLE_TIMEOUT_MS = 10_000L

/** The outcome of a request to an entry VM. */
sealed interface Answer {
    /** The entry VM answered successfully with the JSON text [body]. */
    data class Success(val body: String) : Answer

    /** The entry VM answered with a typed error and the HTTP status [status]. */
    data class Failure(val status: Int, val error: ErrorDetail) : Answer

    /** The request failed or timed out, or the response is neither a success nor a typed error. */
    data class Unavailable(val cause: String) : Answer
}

/** Sends requests to the administration API of the entry VM at a given address. */
fun interface AdministrationClient {
    fun send(address: String, key: String, method: Method, path: String, body: String?): Answer
}

/**
 * Ignores unknown fields, which a newer daemon may add, and decodes missing fields as null, since
 * the daemon omits nulls.
 */
internal val cliJson = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
    prettyPrint = true
}

/** [AdministrationClient] over HTTP. */
class HttpAdministrationClient : AdministrationClient {
    private val http by lazy {
        val client = HttpClient().apply {
            connectTimeout = CONNECT_TIMEOUT_MS
            idleTimeout = IDLE_TIMEOUT_MS
        }
        val http = JettyClient(client)
        // Jetty's own handler of 401 fails a request whose response has no challenge, which hides
        // the typed error.
        client.protocolHandlers.clear()
        http
    }

    override fun send(
        address: String,
        key: String,
        method: Method,
        path: String,
        body: String?,
    ): Answer {
        val request = Request(method, "http://$address$path")
            .header("Authorization", "Bearer $key")
            .body(body.orEmpty())
        val response = try {
            http(request)
        } catch (e: ExecutionException) {
            return Answer.Unavailable(firstLine(e.cause ?: e))
        } catch (_: TimeoutException) {
            return Answer.Unavailable("timeout")
        } catch (e: IllegalArgumentException) {
            return Answer.Unavailable(firstLine(e))
        }
        val text = response.bodyString()
        if (response.status.successful) return Answer.Success(text)
        // http4k reports a failed connection as a response with a status of its own and no typed
        // error.
        val error = parseError(text) ?: return Answer.Unavailable(response.status.description)
        return Answer.Failure(response.status.code, error)
    }

    private fun firstLine(cause: Throwable): String =
        (cause.message ?: cause.javaClass.simpleName).lineSequence().first()

    private fun parseError(text: String): ErrorDetail? = try {
        cliJson.decodeFromString<ErrorResponse>(text).error
    } catch (_: SerializationException) {
        null
    }
}
