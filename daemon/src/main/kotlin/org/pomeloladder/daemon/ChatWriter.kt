/*
 * Writes answers in the chat completions format, streamed or whole.
 */
package org.pomeloladder.daemon

import kotlinx.serialization.encodeToString
import org.pomeloladder.decisions.Refusal
import org.pomeloladder.decisions.RequestId
import org.pomeloladder.peer.AnswerPart

/** Encodes the answer to [request]. */
internal class ChatWriter(private val request: RequestId, private val model: String) {
    /** One part as a server-sent event. */
    fun event(part: AnswerPart): String = when (part) {
        is AnswerPart.Token -> event(chunk(ChunkChoice(delta = ChunkDelta(part.text))))
        is AnswerPart.Finish -> {
            val choice = ChunkChoice(delta = ChunkDelta(), finishReason = part.reason)
            event(chunk(choice, usage(part)))
        }
        is AnswerPart.Body -> ""
    }

    /** The end of a complete stream. */
    fun end(): String = "data: $END_OF_STREAM\n\n"

    /** A refusal after the stream has begun; no end follows it, so that a caller cannot take the answer for whole. */
    fun error(refusal: Refusal): String {
        val detail = ErrorDetail(
            refusal.reason.code,
            refusal.runState.code,
            refusal.detail,
            request.value,
            refusal.retryAfterMs,
        )
        return "event: error\ndata: ${daemonJson.encodeToString(ErrorResponse(detail))}\n\n"
    }

    /** The whole answer as one JSON document. */
    fun whole(parts: List<AnswerPart>): String {
        val text = parts.filterIsInstance<AnswerPart.Token>().joinToString("") { it.text }
        val finish = parts.filterIsInstance<AnswerPart.Finish>().first()
        val choice = AnswerChoice(
            message = ChatMessage("assistant", text),
            finishReason = finish.reason,
        )
        val answer = ChatAnswer(
            id = request.value,
            model = model,
            choices = listOf(choice),
            usage = usage(finish),
        )
        return daemonJson.encodeToString(answer)
    }

    private fun chunk(choice: ChunkChoice, usage: ChatUsage? = null) =
        ChatChunk(id = request.value, model = model, choices = listOf(choice), usage = usage)

    private fun event(chunk: ChatChunk) = "data: ${daemonJson.encodeToString(chunk)}\n\n"

    private fun usage(part: AnswerPart.Finish) = ChatUsage(
        promptTokens = part.promptTokens,
        completionTokens = part.outputTokens,
        totalTokens = part.promptTokens + part.outputTokens,
        cachedTokens = part.cachedTokens,
    )
}
