/*
 * HTTP/1.1 codec of outbound connections. Unlike Netty's client codec, it tells whether bytes are left
 * that belong to no decoded message.
 */
package org.pomeloladder.traffic

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.CombinedChannelDuplexHandler
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponseDecoder

private const val MAX_LINE_BYTES = 8_192
private const val MAX_HEAD_BYTES = 65_536
private const val MAX_CHUNK_BYTES = 65_536

/** Encodes one request at a time and decodes the responses to it. */
internal class ServerCodec :
    CombinedChannelDuplexHandler<HttpResponseDecoder, HttpRequestEncoder>() {
    private val decoder = Decoder()

    /** Whether bytes have arrived after the last decoded message. */
    val hasUndecodedBytes: Boolean
        get() = decoder.hasUndecodedBytes

    init {
        init(decoder, Encoder())
    }

    private class Decoder : HttpResponseDecoder(MAX_LINE_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES) {
        var isHeadRequest = false

        val hasUndecodedBytes: Boolean
            get() = actualReadableBytes() > 0

        override fun isContentAlwaysEmpty(message: HttpMessage) =
            isHeadRequest || super.isContentAlwaysEmpty(message)
    }

    private inner class Encoder : HttpRequestEncoder() {
        override fun encode(context: ChannelHandlerContext, message: Any, out: MutableList<Any>) {
            if (message is HttpRequest) decoder.isHeadRequest = message.method() == HttpMethod.HEAD
            super.encode(context, message, out)
        }
    }
}
