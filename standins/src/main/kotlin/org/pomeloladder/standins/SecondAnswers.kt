/*
 * The second answers of a backend server that stutters. Each is derived from the first answer to a
 * request, and arrives where the answer to the next request on that connection is expected.
 */
package org.pomeloladder.standins

import kotlin.random.Random

internal const val STATUS_OK = 200
internal const val STATUS_FAILURE = 500
internal const val STATUS_BUSY = 503
internal const val STATUS_TOO_MANY = 429
private const val HEX = 16

/** An answer that the server with the id [instance] made itself, before any fault. */
class FirstAnswer(val requestId: String, val instance: String, val status: Int, val body: String)

/** Returns the bytes of a second answer to the request that [first] answers. */
fun interface SecondAnswer {
    fun bytes(first: FirstAnswer, random: Random): ByteArray
}

/** The known forms of second answers. */
enum class StutterForm(private val text: (FirstAnswer, Random) -> String) : SecondAnswer {
    WITH_ID({ first, _ -> repeated(first).text() }),
    WITHOUT_ID({ first, _ -> repeated(first, hasId = false).text() }),
    CUT_HEAD({ first, random -> repeated(first).head().let { it.cut(random) } }),
    CUT_HEAD_WITHOUT_ID({ first, random ->
        repeated(first, hasId = false).head().let { it.cut(random) }
    }),
    CUT_BODY({ first, random ->
        repeated(first).run { head() + framedBody().cut(random) }
    }),
    CUT_CHUNKS({ first, random ->
        repeated(first, framing = Framing.CHUNKED).run { head() + framedBody().cut(random) }
    }),
    UNFRAMED({ first, _ -> repeated(first, framing = Framing.NONE).text() }),
    UNFRAMED_WITHOUT_ID({ first, _ ->
        repeated(first, hasId = false, framing = Framing.NONE).text()
    }),
    FAILURE({ first, _ -> repeated(first, status = STATUS_FAILURE).text() }),
    FAILURE_WITHOUT_ID({ first, _ ->
        repeated(first, hasId = false, status = STATUS_FAILURE).text()
    }),
    NOT_RUN({ first, _ -> repeated(first, status = STATUS_BUSY).text() }),
    NOT_RUN_WITHOUT_ID({ first, _ ->
        repeated(first, hasId = false, status = STATUS_BUSY).text()
    }),
    ;

    override fun bytes(first: FirstAnswer, random: Random) = text(first, random).toByteArray()
}

/** How the end of an answer is told. */
internal enum class Framing { LENGTH, CHUNKED, NONE }

/** An HTTP answer. [requestId] is null if the answer doesn't name its request. */
internal class AnswerText(
    private val status: Int,
    private val requestId: String?,
    private val instance: String,
    private val body: String,
    private val framing: Framing = Framing.LENGTH,
) {
    fun text() = head() + framedBody()

    fun head() = buildString {
        append("HTTP/1.1 $status Status of $instance\r\n")
        append("Date: Sat, 05 Dec 2026 23:49:11 GMT\r\n")
        append("Content-Type: text/event-stream\r\n")
        append("Keep-Alive: timeout=5\r\n")
        requestId?.let { append("$REQUEST_ID_FIELD: $it\r\n") }
        append("X-Pomeloladder-Server-Stamp: stamp-$instance\r\n")
        if (status == STATUS_BUSY || status == STATUS_TOO_MANY) {
            append("X-Pomeloladder-Not-Run: 1\r\n")
        }
        when (framing) {
            Framing.LENGTH -> append("Content-Length: ${body.length}\r\n")
            Framing.CHUNKED -> append("Transfer-Encoding: chunked\r\n")
            Framing.NONE -> Unit
        }
        append("\r\n")
    }

    fun framedBody() = if (framing == Framing.CHUNKED) chunk(body) + LAST_CHUNK else body

    companion object {
        const val LAST_CHUNK = "0\r\n\r\n"

        fun chunk(text: String) = "${text.length.toString(HEX)}\r\n$text\r\n"
    }
}

private fun repeated(
    first: FirstAnswer,
    hasId: Boolean = true,
    status: Int = STATUS_OK,
    framing: Framing = Framing.LENGTH,
) = AnswerText(
    status = status,
    requestId = first.requestId.takeIf { hasId },
    instance = first.instance,
    body = "second answer of ${first.instance} to ${first.requestId}",
    framing = framing,
)

/** Returns a part of this text that lacks at least its last byte and has at least its first. */
private fun String.cut(random: Random) = substring(0, random.nextInt(1, length))
