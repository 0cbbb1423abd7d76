/*
 * Encodes responses in the chat completions format, streamed or as one JSON document.
 */
package org.pomeloladder.daemon

import kotlinx.serialization.encodeToString
import org.pomeloladder.decisions.Refusal
import org.pomeloladder.decisions.RequestId
import org.pomeloladder.peer.ResponsePart

/** Encodes the response to [request]. */
internal class ChatEncoder(private val request: RequestId, private val model: String) {
    /** Encodes one part as a server-sent event. */
    fun encodeEvent(part: ResponsePart): String = when (part) {
        is ResponsePart.Token -> encodeEvent(chunk(ChunkChoice(delta = ChunkDelta(part.text))))
        is ResponsePart.Finish -> {
            val choice = ChunkChoice(delta = ChunkDelta(), finishReason = part.reason)
            encodeEvent(chunk(choice, usage(part)))
        }
        is ResponsePart.Body -> ""
    }

    /** Encodes the marker that ends a complete stream. */
    fun encodeEnd(): String = "data: $END_OF_STREAM\n\n"

    /**
     * Encodes a refusal in a stream that has begun. No end marker follows it, so that the caller
     * does not mistake the response for a complete one.
     */
    fun encodeError(refusal: Refusal): String {
        val detail = ErrorDetail(
            refusal.reason.code,
            refusal.runState.code,
            refusal.detail,
            request.value,
            refusal.retryAfterMs,
        )
        return "event: error\ndata: ${daemonJson.encodeToString(ErrorResponse(detail))}\n\n"
    }

    /** Encodes the complete response as one JSON document. */
    fun encodeResponse(parts: List<ResponsePart>): String {
        val text = parts.filterIsInstance<ResponsePart.Token>().joinToString("") { it.text }
        val finish = parts.filterIsInstance<ResponsePart.Finish>().first()
        val choice = ResponseChoice(
            message = ChatMessage("assistant", text),
            finishReason = finish.reason,
        )
        val response = ChatResponse(
            id = request.value,
            model = model,
            choices = listOf(choice),
            usage = usage(finish),
        )
        return daemonJson.encodeToString(response)
    }

    private fun chunk(choice: ChunkChoice, usage: ChatUsage? = null) =
        ChatChunk(id = request.value, model = model, choices = listOf(choice), usage = usage)

    private fun encodeEvent(chunk: ChatChunk) = "data: ${daemonJson.encodeToString(chunk)}\n\n"

    private fun usage(part: ResponsePart.Finish) = ChatUsage(
        promptTokens = part.promptTokens,
        completionTokens = part.outputTokens,
        totalTokens = part.promptTokens + part.outputTokens,
        cachedTokens = part.cachedTokens,
    )
}
