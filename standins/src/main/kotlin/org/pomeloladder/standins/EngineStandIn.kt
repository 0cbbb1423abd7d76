/*
 * A simulated LLM inference engine with continuous batching, a prefix cache of limited size, an
 * adjustable slowdown and delayed load reports. The answer is a function of the prompt, so that a
 * test can detect an answer that is incomplete or belongs to another request.
 */
package org.pomeloladder.standins

import java.io.IOException
import java.io.InputStream
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.routes
import org.pomeloladder.configuration.Address

internal const val CHARACTERS_PER_TOKEN = 4
private const val BYTE_MASK = 0xff
private const val SEED_MASK = 0xffff

/**
 * Speed and capacity of an engine. Each decoding sequence after the first lengthens a decoding step
 * by the fraction [batchSlowdown]. Prompts are prefilled in chunks of at most [chunkTokens] tokens;
 * in each step, the other sequences decode one token.
 */
data class EngineProfile(
    val slots: Int = 8,
    val batchSlowdown: Double = 0.03,
    val chunkTokens: Int = 512,
    val prefillTokensPerMs: Double = 20.0,
    val decodeMsPerToken: Double = 2.0,
    val cacheTokens: Int = 200_000,
    val reportLagMs: Long = 2_000,
)

/** The fields of a chat completion request that the engine uses. */
@Serializable
private data class EngineRequest(
    val model: String,
    val messages: List<EngineMessage>,
    @SerialName("max_tokens") val maxTokens: Int = 256,
)

@Serializable
private data class EngineMessage(val role: String, val content: String)

@Serializable
private data class EngineModels(val models: List<String>, val fencing: Long)

/**
 * An engine on loopback. With [checksFencing] it rejects an order to load models if the order's
 * fencing number is lower than one already received.
 */
class EngineStandIn(
    private val profile: EngineProfile = EngineProfile(),
    port: Int = 0,
    private val checksFencing: Boolean = false,
) : StandIn {
    private val listener = LoopbackListener(port, handler())
    private val cache = PrefixCache(profile.cacheTokens)
    private val requests = AtomicInteger()
    private val report = LaggingReport(profile.reportLagMs)
    private val batch = BatchLoop(profile, cache, { slowdown }, report::record)

    private val models = HashSet<String>()
    private var highestFencing = 0L

    /** Models named in the orders accepted so far. */
    val loadedModels: Set<String>
        get() = synchronized(models) { models.toSet() }

    /** Factor applied to all processing times; 10, for example, makes the engine a straggler. */
    @Volatile
    var slowdown = 1.0

    override val address: Address
        get() = listener.address

    /** Total prompt tokens that were prefilled because no cached prefix covered them. */
    val prefilledTokenCount: Long
        get() = batch.prefilledTokens.get()

    val cachedTokenCount: Long
        get() = batch.cachedTokens.get()

    /** Number of completion requests accepted so far. */
    val requestCount: Int
        get() = requests.get()

    /** Total time that slots were occupied by sequences, summed over slots, in nanoseconds. */
    val busySlotNanos: Long
        get() = batch.busySlotNanos.get()

    override fun start() {
        batch.start()
        listener.start()
    }

    override fun close() {
        batch.close()
        listener.close()
    }

    /** Empties the prefix cache, as a restart would. */
    fun clearCache() = cache.clear()

    private fun handler() = routes(
        "/v1/chat/completions" bind Method.POST to ::complete,
        "/models" bind Method.PUT to ::loadModels,
        "/load" bind Method.GET to { json("""{"load":${report.current()}}""") },
    )

    private fun complete(request: Request): Response {
        val body = standInJson.decodeFromString<EngineRequest>(request.bodyString())
        val fromToken = request.header("Resume-Offset")?.toIntOrNull() ?: 0
        requests.incrementAndGet()
        val stream = AnswerStream(body, fromToken)
        return Response(Status.OK).header("Content-Type", "text/event-stream").body(stream)
    }

    private fun loadModels(request: Request): Response = synchronized(models) {
        val order = standInJson.decodeFromString<EngineModels>(request.bodyString())
        if (checksFencing && order.fencing < highestFencing) return Response(Status.CONFLICT)
        highestFencing = maxOf(highestFencing, order.fencing)
        models += order.models
        json("{}")
    }

    private inner class AnswerStream(private val body: EngineRequest, private var token: Int) :
        InputStream() {
        private val text = body.messages.joinToString("\n") { it.content }
        private val seed = answerSeed(text)
        private val sequence = BatchedSequence(
            text = text,
            promptTokens = text.length / CHARACTERS_PER_TOKEN + 1,
            outputTokens = body.maxTokens - token,
        )
        private var pending = ByteArray(0)
        private var position = 0
        private var isSubmitted = false
        private var isDone = false

        override fun read(): Int {
            val singleByte = ByteArray(1)
            return if (read(singleByte, 0, 1) < 0) -1 else singleByte[0].toInt() and BYTE_MASK
        }

        override fun read(buffer: ByteArray, offset: Int, length: Int): Int {
            if (position == pending.size && !advance()) return -1
            val count = minOf(length, pending.size - position)
            pending.copyInto(buffer, offset, position, position + count)
            position += count
            return count
        }

        /** Cancels the sequence, so that its slot is freed when the caller disconnects. */
        override fun close() {
            sequence.isCancelled = true
        }

        private fun advance(): Boolean {
            if (isDone) return false
            if (!isSubmitted) batch.submit(sequence)
            isSubmitted = true
            pending = when {
                token < body.maxTokens -> nextEvent()
                else -> finalEvents().also { isDone = true }
            }.toByteArray()
            position = 0
            return true
        }

        private fun nextEvent(): String {
            if (!sequence.awaitToken()) throw IOException("engine stopped before the answer ended")
            return event(token++)
        }

        private fun event(index: Int): String {
            val delta = """{"content":"${answerToken(seed, index)}"}"""
            return "data: {\"choices\":[{\"index\":0,\"delta\":$delta}]}\n\n"
        }

        private fun finalEvents(): String {
            val usage =
                """{"prompt_tokens":${sequence.promptTokens},"completion_tokens":$token,""" +
                    """"prompt_tokens_details":{"cached_tokens":${sequence.cachedTokens}}}"""
            val choice = """{"index":0,"delta":{},"finish_reason":"stop"}"""
            return "data: {\"choices\":[$choice],\"usage\":$usage}\n\ndata: [DONE]\n\n"
        }
    }
}

/** Seed that determines the answer to [prompt]. */
fun answerSeed(prompt: String): Int = prompt.hashCode() and SEED_MASK

/** Text of the token at [index] in the answer determined by [seed]. */
fun answerToken(seed: Int, index: Int): String = "$seed-$index "

/** The complete answer of [tokens] tokens that any engine stand-in generates for [prompt]. */
fun expectedAnswer(prompt: String, tokens: Int): String =
    (0 until tokens).joinToString("") { answerToken(answerSeed(prompt), it) }
