/*
 * HTTP decoder for responses that tells whether bytes follow a complete response. The beginning of
 * another head decodes to no message, so that nothing else shows it before it is joined with the
 * next response on the connection.
 */
package org.pomeloladder.traffic

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes the responses to the requests of one connection, which are sent one at a time. */
internal class ResponseDecoder(config: HttpDecoderConfig = HttpDecoderConfig()) :
    HttpResponseDecoder(config) {
    /** Method of the current request. A response to HEAD has no body whatever its length says. */
    var requestMethod: HttpMethod = HttpMethod.GET

    /** Whether received bytes are left that belong to no message so far. */
    val hasUndecodedBytes: Boolean
        get() = actualReadableBytes() > 0

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        requestMethod == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)
}
