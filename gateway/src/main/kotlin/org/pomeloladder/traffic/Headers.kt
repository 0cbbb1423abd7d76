/*
 * Head fields that concern one connection only and are never passed on.
 */
package org.pomeloladder.traffic

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

private val CONNECTION_FIELDS = listOf<CharSequence>(
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

/** A copy of [headers] without fields of the connection, those that `Connection` names included. */
internal fun withoutConnectionFields(headers: HttpHeaders): HttpHeaders {
    val copy = DefaultHttpHeaders().set(headers)
    for (value in headers.getAll(HttpHeaderNames.CONNECTION)) {
        value.split(',').map { it.trim() }.filter { it.isNotEmpty() }.forEach { copy.remove(it) }
    }
    CONNECTION_FIELDS.forEach { copy.remove(it) }
    return copy
}

/** Milliseconds for which the other side keeps an idle connection, as its `Keep-Alive` states; null when it does not. */
internal fun keepAliveMs(headers: HttpHeaders): Long? = headers.get("keep-alive")?.split(',', ';')
    ?.map { it.trim() }
    ?.firstOrNull { it.startsWith("timeout=", ignoreCase = true) }
    ?.substringAfter('=')?.trim()?.toLongOrNull()?.times(MS_PER_S)

private const val MS_PER_S = 1_000L
