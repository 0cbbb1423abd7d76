/*
 * Hop-by-hop headers, which apply to a single connection and are never forwarded.
 */
package org.pomeloladder.traffic

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

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

private const val MS_PER_S = 1_000L
