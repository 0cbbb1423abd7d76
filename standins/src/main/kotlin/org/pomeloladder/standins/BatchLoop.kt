/*
 * The batch loop of [EngineStandIn]: one thread that runs steps, as an engine with continuous
 * batching does. A step decodes one token for each decoding sequence and prefills one chunk of the
 * oldest prompt. The thread sleeps once per step, whatever the number of streams.
 */
package org.pomeloladder.standins

import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

private const val NANOS_PER_MS = 1_000_000.0

/** A prompt and the progress of its answer in the batch. */
internal class BatchedSequence(val text: String, val promptTokens: Int, val outputTokens: Int) {
    private val availableTokens = Semaphore(0)

    /** Prompt tokens found in the prefix cache; valid once the first token is available. */
    @Volatile
    var cachedTokens = 0

    @Volatile
    var isCancelled = false

    /** Set when the engine stops before the answer is complete. */
    @Volatile
    var isAborted = false

    /** Prompt tokens left to prefill; -1 until the prefix cache has been searched. */
    internal var unprocessedTokens = -1
    internal var decodedTokens = 0

    /** Waits for the next token; returns false if the engine stopped. */
    fun awaitToken(): Boolean {
        availableTokens.acquire()
        return !isAborted
    }

    internal fun signalToken() = availableTokens.release()
}

/**
 * Runs sequences in batches. [slowdown] is read in each step; [onLoad] receives the number of
 * waiting and running sequences after each change.
 */
internal class BatchLoop(
    private val profile: EngineProfile,
    private val cache: PrefixCache,
    private val slowdown: () -> Double,
    private val onLoad: (Int) -> Unit,
) : AutoCloseable {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val waiting = ArrayDeque<BatchedSequence>()
    private val prefilling = ArrayDeque<BatchedSequence>()
    private val decoding = ArrayList<BatchedSequence>()
    private val thread = Thread(::run, "engine-batch").apply { isDaemon = true }
    private var isClosed = false
    val prefilledTokens = AtomicLong()
    val cachedTokens = AtomicLong()
    val busySlotNanos = AtomicLong()

    fun start() = thread.start()

    fun submit(sequence: BatchedSequence) = lock.withLock {
        if (isClosed) {
            abort(sequence)
        } else {
            waiting.addLast(sequence)
            reportLoad()
            changed.signal()
        }
    }

    override fun close() {
        lock.withLock {
            isClosed = true
            changed.signal()
        }
        thread.interrupt()
    }

    private fun run() {
        try {
            while (true) step()
        } catch (_: InterruptedException) {
            lock.withLock {
                isClosed = true
                (waiting + prefilling + decoding).forEach(::abort)
            }
        }
    }

    private fun abort(sequence: BatchedSequence) {
        sequence.isAborted = true
        sequence.signalToken()
    }

    private fun step() {
        val stepMs: Double
        val active: Int
        val chunkTokens: Int
        lock.withLock {
            updateBatch()
            while (prefilling.isEmpty() && decoding.isEmpty()) {
                changed.await()
                updateBatch()
            }
            chunkTokens = nextChunkTokens()
            active = prefilling.size + decoding.size
            stepMs = decodeMs() + chunkTokens / profile.prefillTokensPerMs
        }
        val startNanos = System.nanoTime()
        sleepFor(stepMs * slowdown())
        busySlotNanos.addAndGet((System.nanoTime() - startNanos) * active)
        lock.withLock { finishStep(chunkTokens) }
    }

    private fun updateBatch() {
        waiting.removeAll { it.isCancelled }
        prefilling.removeAll { it.isCancelled }
        decoding.removeAll { it.isCancelled }
        while (waiting.isNotEmpty() && prefilling.size + decoding.size < profile.slots) {
            prefilling.addLast(waiting.removeFirst())
        }
        reportLoad()
    }

    /**
     * Decoding slows as the batch grows, because a larger batch reads more cached keys and values.
     */
    private fun decodeMs(): Double {
        if (decoding.isEmpty()) return 0.0
        return profile.decodeMsPerToken * (1 + profile.batchSlowdown * (decoding.size - 1))
    }

    private fun nextChunkTokens(): Int {
        val sequence = prefilling.firstOrNull() ?: return 0
        if (sequence.unprocessedTokens < 0) matchPrefix(sequence)
        return minOf(sequence.unprocessedTokens, profile.chunkTokens)
    }

    private fun matchPrefix(sequence: BatchedSequence) {
        val matched = cache.match(sequence.text) / CHARACTERS_PER_TOKEN
        val cached = minOf(matched, sequence.promptTokens)
        sequence.cachedTokens = cached
        sequence.unprocessedTokens = sequence.promptTokens - cached
        prefilledTokens.addAndGet(sequence.unprocessedTokens.toLong())
        cachedTokens.addAndGet(cached.toLong())
    }

    private fun finishStep(chunkTokens: Int) {
        decoding.forEach(::decode)
        prefilling.firstOrNull()?.let { first ->
            first.unprocessedTokens -= chunkTokens
            if (first.unprocessedTokens <= 0) {
                cache.add(first.text)
                prefilling.removeFirst()
                decoding += first
                // The last chunk of the prompt also yields the first token.
                decode(first)
            }
        }
        decoding.removeAll { it.decodedTokens >= it.outputTokens }
        reportLoad()
    }

    private fun decode(sequence: BatchedSequence) {
        if (sequence.decodedTokens >= sequence.outputTokens) return
        sequence.decodedTokens += 1
        sequence.signalToken()
    }

    private fun reportLoad() = onLoad(waiting.size + prefilling.size + decoding.size)

    private fun sleepFor(ms: Double) {
        val nanos = (ms * NANOS_PER_MS).toLong()
        if (nanos > 0) TimeUnit.NANOSECONDS.sleep(nanos)
    }
}
