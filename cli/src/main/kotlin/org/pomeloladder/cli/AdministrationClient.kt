/*
 * Asks the administration API of one entry VM.
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

/** How one entry VM answered. */
sealed interface Answer {
    /** The JSON text of a successful answer. */
    data class Success(val body: String) : Answer

    /** The entry VM answered with a typed error. */
    data class Refused(val status: Int, val error: ErrorDetail) : Answer

    /** Nothing answered, or something that is not an entry VM. */
    data class None(val cause: String) : Answer
}

/** Sends one request to the administration API at [address]. */
fun interface AdministrationClient {
    fun send(address: String, key: String, method: Method, path: String, body: String?): Answer
}

/** Ignores fields that a newer daemon adds, and reads a missing field as null, because the daemon writes no nulls. */
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
        // Jetty's own handling of 401 fails the call when the answer has no challenge, and hides the typed error.
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
            return Answer.None(firstLine(e.cause ?: e))
        } catch (_: TimeoutException) {
            return Answer.None("timeout")
        } catch (e: IllegalArgumentException) {
            return Answer.None(firstLine(e))
        }
        val text = response.bodyString()
        if (response.status.successful) return Answer.Success(text)
        // http4k reports a failed connection as a status of its own, without a typed body.
        val error = errorOf(text) ?: return Answer.None(response.status.description)
        return Answer.Refused(response.status.code, error)
    }

    private fun firstLine(cause: Throwable): String =
        (cause.message ?: cause.javaClass.simpleName).lineSequence().first()

    private fun errorOf(text: String): ErrorDetail? = try {
        cliJson.decodeFromString<ErrorResponse>(text).error
    } catch (_: SerializationException) {
        null
    }
}
