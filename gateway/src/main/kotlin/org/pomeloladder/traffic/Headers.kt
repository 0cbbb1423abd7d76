/*
 * Hop-by-hop headers, which apply to a single connection and are never forwarded, and the check that
 * a response head is that of a single response.
 */
package org.pomeloladder.traffic

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse

private val HOP_BY_HOP_HEADERS = listOf<CharSequence>(
    HttpHeaderNames.CONNECTION,
    HttpHeaderNames.TRANSFER_ENCODING,
    HttpHeaderNames.CONTENT_LENGTH,
    HttpHeaderNames.UPGRADE,
    HttpHeaderNames.TE,
    HttpHeaderNames.TRAILER,
    HttpHeaderNames.EXPECT,
    HttpHeaderNames.PROXY_AUTHENTICATE,
    HttpHeaderNames.PROXY_AUTHORIZATION,
    "keep-alive",
    "proxy-connection",
)

/** Copies [headers] without hop-by-hop headers, including those that `Connection` lists. */
internal fun withoutHopByHopHeaders(headers: HttpHeaders): HttpHeaders {
    val copy = DefaultHttpHeaders().set(headers)
    for (value in headers.getAll(HttpHeaderNames.CONNECTION)) {
        value.split(',').map { it.trim() }.filter { it.isNotEmpty() }.forEach { copy.remove(it) }
    }
    HOP_BY_HOP_HEADERS.forEach { copy.remove(it) }
    return copy
}

/** Idle timeout in the `Keep-Alive` header in milliseconds, or null if there is none. */
internal fun keepAliveMs(headers: HttpHeaders): Long? = headers.get("keep-alive")?.split(',', ';')
    ?.map { it.trim() }
    ?.firstOrNull { it.startsWith("timeout=", ignoreCase = true) }
    ?.substringAfter('=')?.trim()?.toLongOrNull()?.times(MS_PER_S)

/**
 * Whether the head of [response] contains the status line of another response. A server that breaks
 * off within a head and then sends the next one makes the decoder read both as one.
 */
internal fun containsStatusLine(response: HttpResponse): Boolean =
    STATUS_LINE_START.containsMatchIn(response.status().reasonPhrase()) ||
        response.headers().any { STATUS_LINE_START.containsMatchIn(it.value) }

private val STATUS_LINE_START = Regex("""HTTP/1\.\d \d{3}""")
private const val MS_PER_S = 1_000L

/** Whether HTTP knows the class of the status (RFC 9110, 15). */
internal fun hasValidStatus(response: HttpResponse): Boolean =
    response.status().code() in VALID_STATUSES

private val VALID_STATUSES = 100..599
