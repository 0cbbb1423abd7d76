/*
 * Estimates how fast a model engine generates answers, from the streams that pass through the entry
 * VMs. The measurement includes everything that slows an engine down: a full batch, the prompts of
 * other calls, other load on its machine.
 */
package org.pomeloladder.gateway

import kotlin.math.pow

/** Weight of the old average after one more gap; the average covers about the last twenty gaps. */
private const val DECAY_PER_GAP = 0.95

/** An average without a new gap for this long is no longer used. */
private const val STALE_MS = 3_000L

/** Average time between stream events at one engine; 0 means that nothing was observed. */
class EventGapEstimator {
    private var gapMs = 0.0
    private var lastSampleMs = Long.MIN_VALUE / 2
    private var peerTotalMs = 0.0
    private var peerCount = 0

    fun addSample(gaps: EventGaps, nowMs: Long) {
        if (gaps.count == 0) return
        val mean = gaps.totalMs / gaps.count
        val decay = if (nowMs - lastSampleMs > STALE_MS) 0.0 else DECAY_PER_GAP.pow(gaps.count)
        gapMs = decay * gapMs + (1 - decay) * mean
        lastSampleMs = nowMs
    }

    /** Returns the average of this process alone; 0 when it is out of date. */
    fun ownGapMs(nowMs: Long): Double = if (nowMs - lastSampleMs > STALE_MS) 0.0 else gapMs

    fun clearPeerSamples() {
        peerTotalMs = 0.0
        peerCount = 0
    }

    fun addPeerSample(gapMs: Double) {
        if (gapMs <= 0) return
        peerTotalMs += gapMs
        peerCount++
    }

    /**
     * Returns the mean of the averages of this process and its peers; 0 when none of them has a
     * stream there.
     */
    fun gapMs(nowMs: Long): Double {
        val ownMs = ownGapMs(nowMs)
        val count = peerCount + if (ownMs > 0) 1 else 0
        return if (count == 0) 0.0 else (peerTotalMs + ownMs) / count
    }
}

/**
 * Learns the ratio between the events of a stream and the answer length in tokens that the caller
 * estimated.
 */
class AnswerLengthEstimator {
    private var tokens = 0.0
    private var events = 0.0

    fun addSample(expectedTokens: Int, actualEvents: Int) {
        if (expectedTokens <= 0 || actualEvents <= 0) return
        tokens = DECAY_PER_ANSWER * tokens + expectedTokens
        events = DECAY_PER_ANSWER * events + actualEvents
    }

    /**
     * Returns the expected number of events of an answer of [expectedTokens] tokens; 0 before the
     * first answer.
     */
    fun expectedEvents(expectedTokens: Int): Double =
        if (tokens == 0.0) 0.0 else expectedTokens * events / tokens

    private companion object {
        /** Averages about the last fifty answers, since single estimates are often far off. */
        const val DECAY_PER_ANSWER = 0.98
    }
}
