/*
 * The batch of an engine stand-in: one thread that runs steps, as a continuously batching engine
 * does. A step gives each
 * decoding sequence one token and processes one chunk of the oldest prompt. One sleep a step,
 * whatever the number of
 * streams.
 */
package org.pomeloladder.standins

import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

private const val NANOS_PER_MS = 1_000_000.0

/** One prompt and its answer in the batch. */
internal class BatchedSequence(val text: String, val promptTokens: Int, val outputTokens: Int) {
    private val ready = Semaphore(0)

    /** Prompt tokens found in the prefix cache; valid after the first token is ready. */
    @Volatile
    var cachedTokens = 0

    @Volatile
    var isCancelled = false

    /** Set when the engine stops before the answer is whole. */
    @Volatile
    var isBroken = false

    internal var unprocessedTokens = -1
    internal var decodedTokens = 0

    /** Waits for the next token; returns false when the engine stopped. */
    fun awaitToken(): Boolean {
        ready.acquire()
        return !isBroken
    }

    internal fun tokenReady() = ready.release()
}

/**
 * Runs sequences in batches. [slowdown] is read at each step; [onLoad] gets the load after each
 * change.
 */
internal class BatchLoop(
    private val profile: EngineProfile,
    private val cache: PrefixCache,
    private val slowdown: () -> Double,
    private val onLoad: (Int) -> Unit,
) : AutoCloseable {
    private val lock = ReentrantLock()
    private val arrived = lock.newCondition()
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
            breakOff(sequence)
        } else {
            waiting.addLast(sequence)
            reportLoad()
            arrived.signal()
        }
    }

    override fun close() {
        lock.withLock {
            isClosed = true
            arrived.signal()
        }
        thread.interrupt()
    }

    private fun run() {
        try {
            while (true) step()
        } catch (_: InterruptedException) {
            lock.withLock {
                isClosed = true
                (waiting + prefilling + decoding).forEach(::breakOff)
            }
        }
    }

    private fun breakOff(sequence: BatchedSequence) {
        sequence.isBroken = true
        sequence.tokenReady()
    }

    private fun step() {
        val stepMs: Double
        val active: Int
        val chunkTokens: Int
        lock.withLock {
            admit()
            while (prefilling.isEmpty() && decoding.isEmpty()) {
                arrived.await()
                admit()
            }
            chunkTokens = nextChunkTokens()
            active = prefilling.size + decoding.size
            stepMs = decodeMs() + chunkTokens / profile.prefillTokensPerMs
        }
        val startNanos = System.nanoTime()
        pause(stepMs * slowdown())
        busySlotNanos.addAndGet((System.nanoTime() - startNanos) * active)
        lock.withLock { finishStep(chunkTokens) }
    }

    private fun admit() {
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
        if (sequence.unprocessedTokens < 0) lookUp(sequence)
        return minOf(sequence.unprocessedTokens, profile.chunkTokens)
    }

    private fun lookUp(sequence: BatchedSequence) {
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
        sequence.tokenReady()
    }

    private fun reportLoad() = onLoad(waiting.size + prefilling.size + decoding.size)

    private fun pause(ms: Double) {
        val nanos = (ms * NANOS_PER_MS).toLong()
        if (nanos > 0) TimeUnit.NANOSECONDS.sleep(nanos)
    }
}
