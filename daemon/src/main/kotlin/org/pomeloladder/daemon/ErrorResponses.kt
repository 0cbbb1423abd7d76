/*
 * HTTP responses for refusals. The reason determines the status code; the body is typed JSON.
 */
package org.pomeloladder.daemon

import java.util.concurrent.TimeoutException
import kotlinx.serialization.encodeToString
import org.http4k.core.Filter
import org.http4k.core.Response
import org.http4k.core.Status
import org.pomeloladder.decisions.Refusal
import org.pomeloladder.decisions.RefusalReason
import org.pomeloladder.decisions.RequestId
import org.pomeloladder.decisions.RunState

private const val MS_PER_SECOND = 1_000L

/** Creates a typed error for an HTTP request that is itself invalid, so that nothing ran. */
internal fun errorResponse(status: Status, reason: String, detail: String): Response {
    val body = ErrorResponse(ErrorDetail(reason, RunState.NOT_RUN.code, detail))
    return errorResponse(status, body)
}

/**
 * HTTP requires a challenge in each 401 response. HTTP clients such as Jetty's fail the call
 * without it.
 */
private fun errorResponse(status: Status, body: ErrorResponse): Response {
    val response = Response(status)
        .header("Content-Type", "application/json")
        .body(daemonJson.encodeToString(body))
    if (status != Status.UNAUTHORIZED) return response
    return response.header("WWW-Authenticate", "Bearer")
}

/** Returns typed JSON if no route matches or the control thread does not respond in time. */
internal fun jsonErrors() = Filter { next ->
    { request ->
        val response = try {
            next(request)
        } catch (_: TimeoutException) {
            errorResponse(Status.SERVICE_UNAVAILABLE, "control-timeout", "try another entry VM")
        }
        val isTyped = response.header("Content-Type") != null
        when {
            isTyped -> response
            response.status == Status.NOT_FOUND ->
                errorResponse(Status.NOT_FOUND, "unknown-path", "no such path: ${request.uri.path}")
            response.status == Status.METHOD_NOT_ALLOWED -> errorResponse(
                Status.METHOD_NOT_ALLOWED,
                "wrong-method",
                "${request.method} is not allowed for ${request.uri.path}",
            )
            else -> response
        }
    }
}

/** Returns the HTTP status for [reason]. */
internal fun statusOf(reason: RefusalReason): Status = when (reason) {
    RefusalReason.UNAUTHORIZED -> Status.UNAUTHORIZED
    RefusalReason.BAD_REQUEST -> Status.BAD_REQUEST
    RefusalReason.UNKNOWN_SERVICE -> Status.NOT_FOUND
    RefusalReason.SERVICE_NOT_ALLOWED, RefusalReason.RESIDENCY -> Status.FORBIDDEN
    RefusalReason.OVERLOADED, RefusalReason.QUEUE_FULL, RefusalReason.DEADLINE_UNREACHABLE ->
        Status.TOO_MANY_REQUESTS
    RefusalReason.DEADLINE_EXCEEDED -> Status.GATEWAY_TIMEOUT
    RefusalReason.HOME_REQUIRED, RefusalReason.ORDER_EXPIRED, RefusalReason.ORDER_IN_PROGRESS,
    RefusalReason.WITHDRAWN,
    -> Status.CONFLICT
    RefusalReason.HOME_GONE, RefusalReason.ORDER_NOT_FOUND -> Status.NOT_FOUND
    RefusalReason.BACKEND_FAILED, RefusalReason.CONNECTION_LOST -> Status.BAD_GATEWAY
    else -> Status.SERVICE_UNAVAILABLE
}

/** Creates the HTTP response to a refused request. */
internal fun Refusal.toResponse(request: RequestId? = null, homeToken: String? = null): Response {
    val body = ErrorResponse(
        ErrorDetail(reason.code, runState.code, detail, request?.value, retryAfterMs, homeToken),
    )
    val response = errorResponse(statusOf(reason), body)
    val retryMs = retryAfterMs ?: return response
    val seconds = (retryMs + MS_PER_SECOND - 1) / MS_PER_SECOND
    return response.header("Retry-After", seconds.toString())
}
