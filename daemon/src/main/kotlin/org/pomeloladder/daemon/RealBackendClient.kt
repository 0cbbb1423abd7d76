/*
 * Calls of backend servers through http4k's Jetty client. Model engines stream their responses as
 * server-sent events; plain services return one complete body.
 *
 * Each call uses a new connection. A server that sends an answer twice would otherwise answer the
 * next call on the connection with the late copy, and HTTP clients may silently repeat a request if
 * a pooled connection turns out to be closed.
 */
package org.pomeloladder.daemon

import java.io.IOException
import java.io.InputStream
import java.util.concurrent.ExecutionException
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.client.HttpResponseException
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP
import org.http4k.client.DualSyncAsyncHttpHandler
import org.http4k.client.JettyClient
import org.http4k.core.BodyMode
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.pomeloladder.decisions.AttemptOutcome
import org.pomeloladder.decisions.BackendCall
import org.pomeloladder.decisions.EngineOrderOutcome
import org.pomeloladder.decisions.EnsureModels
import org.pomeloladder.decisions.Refusal
import org.pomeloladder.decisions.RefusalReason
import org.pomeloladder.decisions.RunState
import org.pomeloladder.peer.ResponsePart

/** The statuses that HTTP knows (RFC 9110, 15). */
private val VALID_STATUSES = 100..599

private const val CONNECT_TIMEOUT_MS = 2_000L
private const val MAX_CONNECTIONS_PER_SERVER = 1_024
private const val MAX_HEAD_BYTES = 65_536

/** Maximum size of a complete body. */
private const val MAX_BODY_BYTES = 4 * 1024 * 1024

/** Maximum number of bytes of a stream from one event to the next. */
private const val MAX_BYTES_WITHOUT_EVENT = 256 * 1024

/** Bodies that are being read may take the heap size divided by this, all together. */
private const val HEAP_DIVISOR = 8

/** [BackendClient] over HTTP/1.1. */
class RealBackendClient(
    idleTimeoutMs: Long,
    maxHeldBytes: Long = Runtime.getRuntime().maxMemory() / HEAP_DIVISOR,
) : BackendClient {
    private val bodyBudget = ByteBudget(maxHeldBytes)
    private val jetty = HttpClient(HttpClientTransportOverHTTP(ResetAwareConnector())).apply {
        connectTimeout = CONNECT_TIMEOUT_MS
        idleTimeout = idleTimeoutMs
        isFollowRedirects = false
        maxConnectionsPerDestination = MAX_CONNECTIONS_PER_SERVER
        userAgentField = null
        maxResponseHeadersSize = MAX_HEAD_BYTES
    }
    private val currentAttempt = ThreadLocal<BackendAttempt>()
    private val client: DualSyncAsyncHttpHandler =
        JettyClient(jetty, BodyMode.Stream) { request -> request.also { trackProgress(it) } }

    override fun call(attempt: BackendAttempt): BackendResult {
        if (attempt.isCancelled) return ended(AttemptOutcome.Cancelled)
        currentAttempt.set(attempt)
        val response = try {
            client(buildRequest(attempt))
        } catch (e: ExecutionException) {
            // http4k maps only some causes to a response. A closed connection and an idle timeout
            // are thrown as exceptions.
            val cause = e.cause?.javaClass?.simpleName ?: "no cause"
            Response(Status.SERVICE_UNAVAILABLE.description(cause))
        } finally {
            currentAttempt.remove()
        }
        return response.use { readResponse(attempt, it) }
    }

    override fun ensureModels(order: EnsureModels): EngineOrderOutcome {
        val body = EngineModels(order.models.map { it.value }.sorted(), order.fencing)
        val request = Request(Method.PUT, "http://${order.server.address}/models")
            .header("Connection", "close")
            .header("Content-Type", "application/json")
            .body(daemonJson.encodeToString(body))
        val status = try {
            client(request).use { it.status }
        } catch (_: ExecutionException) {
            return EngineOrderOutcome.FAILED
        }
        return when {
            status.successful -> EngineOrderOutcome.DONE
            status == Status.CONFLICT -> EngineOrderOutcome.REFUSED
            else -> EngineOrderOutcome.FAILED
        }
    }

    override fun close() = client.close()

    private fun buildRequest(attempt: BackendAttempt): Request {
        val base = "http://${attempt.server.address}"
        val key = attempt.spec.order?.idempotencyKey(attempt.spec.subscriber).orEmpty()
        return when (attempt.call) {
            BackendCall.SERVE -> Request(Method.POST, "$base/v1/chat/completions")
                .header("Request-Id", attempt.id.value)
                .header("Resume-Offset", attempt.fromToken.toString())
                .header("Content-Type", "application/json")
                .body(engineBody(attempt.sink.payload, attempt.sink.deliveredText))
            BackendCall.CALL_SERVICE -> Request(
                Method.POST,
                "$base/services/${attempt.spec.service}",
            )
                .header("Request-Id", attempt.id.value)
                .header("Content-Type", "application/json")
                .body(attempt.sink.payload.decodeToString())
            BackendCall.RUN_ORDER -> Request(Method.POST, "$base/orders")
                .header("Idempotency-Key", key)
                .header("Content-Type", "application/json")
                .body(attempt.sink.payload.decodeToString())
            BackendCall.LOOK_UP_ORDER -> Request(Method.GET, "$base/orders/$key")
        }.header("Connection", "close")
    }

    private fun readResponse(attempt: BackendAttempt, response: Response): BackendResult {
        val status = response.status
        if (attempt.isCancelled) return ended(AttemptOutcome.Cancelled)
        if (status.code !in VALID_STATUSES) return invalidStatus(attempt, status)
        if (attempt.call == BackendCall.LOOK_UP_ORDER) return readLookupResponse(attempt, response)
        if (!attempt.isResponseStarted) return ended(transportFailure(attempt, status))
        return when (attempt.call) {
            BackendCall.SERVE -> ended(readStreamResponse(attempt, response))
            BackendCall.CALL_SERVICE -> ended(readServiceResponse(attempt, response))
            else -> ended(readOrderResponse(attempt, response))
        }
    }

    /** Ends [attempt] without passing the response on; the request may have run. */
    private fun invalidStatus(attempt: BackendAttempt, status: Status): BackendResult {
        val detail = "status ${status.code}"
        val refusal = Refusal(RefusalReason.BACKEND_FAILED, RunState.UNKNOWN, detail)
        return if (attempt.call == BackendCall.LOOK_UP_ORDER) {
            BackendResult.LookupFailed(refusal)
        } else {
            ended(AttemptOutcome.Failed(refusal))
        }
    }

    /**
     * Reads the response to an order lookup. Only success and 404 are conclusive; any other status
     * says nothing about the order.
     */
    private fun readLookupResponse(attempt: BackendAttempt, response: Response): BackendResult {
        val status = response.status
        val refusal = when {
            !attempt.isResponseStarted -> Refusal(
                RefusalReason.BACKEND_UNREACHABLE,
                RunState.UNKNOWN,
                status.description,
            )
            status == Status.NOT_FOUND -> return BackendResult.OrderAbsent
            status.successful -> return when (val outcome = readBody(attempt, response)) {
                is AttemptOutcome.Failed -> BackendResult.LookupFailed(outcome.refusal)
                else -> ended(outcome)
            }
            else -> Refusal(
                RefusalReason.BACKEND_FAILED,
                RunState.UNKNOWN,
                "status ${status.code}",
            )
        }
        return BackendResult.LookupFailed(refusal)
    }

    private fun readServiceResponse(attempt: BackendAttempt, response: Response): AttemptOutcome {
        val status = response.status
        if (status == Status.TOO_MANY_REQUESTS || status == Status.SERVICE_UNAVAILABLE) {
            return AttemptOutcome.NotSent(Refusal(RefusalReason.BACKEND_BUSY))
        }
        return readBody(attempt, response)
    }

    /**
     * Reads the response to an order. A redirect is not passed on, because the caller's HTTP client
     * would repeat the order at the redirect target.
     */
    private fun readOrderResponse(attempt: BackendAttempt, response: Response): AttemptOutcome {
        val status = response.status
        if (status.redirection) return failed(RefusalReason.BACKEND_FAILED, "status ${status.code}")
        return readBody(attempt, response)
    }

    private fun readBody(attempt: BackendAttempt, response: Response): AttemptOutcome = try {
        BoundedInputStream(response.body.stream, MAX_BODY_BYTES, bodyBudget).use { body ->
            val bytes = body.readAllBytes()
            val contentType = response.header("Content-Type") ?: "application/json"
            val part = ResponsePart.Body(response.status.code, contentType, bytes)
            attempt.sink.onPart(attempt.id, part)
        }
        AttemptOutcome.Completed()
    } catch (e: IOException) {
        failed(RefusalReason.CONNECTION_LOST, e.message.orEmpty())
    } catch (e: HttpResponseException) {
        failed(RefusalReason.BACKEND_FAILED, e.message.orEmpty())
    }

    private fun readStreamResponse(attempt: BackendAttempt, response: Response): AttemptOutcome {
        val status = response.status
        if (status == Status.TOO_MANY_REQUESTS || status == Status.SERVICE_UNAVAILABLE) {
            return AttemptOutcome.NotSent(Refusal(RefusalReason.BACKEND_BUSY))
        }
        if (!status.successful) return failed(RefusalReason.BACKEND_FAILED, "status ${status.code}")
        return try {
            readEvents(attempt, response.body.stream)
        } catch (e: IOException) {
            if (attempt.isCancelled) return AttemptOutcome.Cancelled
            failed(RefusalReason.CONNECTION_LOST, e.message.orEmpty())
        } catch (e: HttpResponseException) {
            failed(RefusalReason.BACKEND_FAILED, e.message.orEmpty())
        } catch (e: SerializationException) {
            failed(RefusalReason.BACKEND_FAILED, "answer is not valid JSON: ${e.message}")
        }
    }

    private fun readEvents(attempt: BackendAttempt, stream: InputStream): AttemptOutcome =
        BoundedInputStream(stream, MAX_BYTES_WITHOUT_EVENT, bodyBudget).use {
            readEvents(attempt, it)
        }

    private fun readEvents(attempt: BackendAttempt, stream: BoundedInputStream): AttemptOutcome {
        var offset = attempt.fromToken
        var usage: EngineUsage? = null
        var finishReason: String? = null
        for (data in stream.bufferedReader().serverSentEvents()) {
            if (data == END_OF_STREAM) {
                val reason = finishReason
                    ?: return failed(RefusalReason.BACKEND_FAILED, "no finish")
                return finish(attempt, reason, offset, usage)
            }
            val chunk = daemonJson.decodeFromString<EngineChunk>(data)
            usage = chunk.usage ?: usage
            val choice = chunk.choices.firstOrNull() ?: continue
            finishReason = choice.finishReason ?: finishReason
            val text = choice.delta.content ?: continue
            if (!attempt.sink.onPart(attempt.id, ResponsePart.Token(offset, text))) {
                return AttemptOutcome.Cancelled
            }
            offset += 1
            stream.restart()
        }
        return failed(RefusalReason.CONNECTION_LOST, "stream ended early")
    }

    private fun finish(
        attempt: BackendAttempt,
        reason: String,
        outputTokens: Int,
        usage: EngineUsage?,
    ): AttemptOutcome {
        val cachedTokens = usage?.promptTokensDetails?.cachedTokens ?: 0
        val promptTokens = usage?.promptTokens ?: attempt.spec.promptTokens
        val part = ResponsePart.Finish(reason, promptTokens, cachedTokens, outputTokens)
        if (!attempt.sink.onPart(attempt.id, part)) return AttemptOutcome.Cancelled
        return AttemptOutcome.Completed(outputTokens, cachedTokens)
    }

    /** Records the progress of the call, because the client's error responses do not include it. */
    private fun trackProgress(request: org.eclipse.jetty.client.Request) {
        val attempt = currentAttempt.get() ?: return
        request.onRequestBegin { attempt.isSendStarted = true }
        request.onResponseHeaders { attempt.isResponseStarted = true }
        attempt.onCancel { request.abort(IOException("attempt cancelled")) }
    }

    private fun transportFailure(attempt: BackendAttempt, status: Status): AttemptOutcome {
        // Jetty calls the begin listener before it writes the first byte. If it was not called,
        // nothing was sent.
        if (attempt.isSendStarted) return failed(RefusalReason.CONNECTION_LOST, status.description)
        val refusal = Refusal(RefusalReason.BACKEND_UNREACHABLE, detail = status.description)
        return AttemptOutcome.NotSent(refusal)
    }

    private fun failed(reason: RefusalReason, detail: String) =
        AttemptOutcome.Failed(Refusal(reason, RunState.UNKNOWN, detail))

    private fun ended(outcome: AttemptOutcome) = BackendResult.Ended(outcome)
}
