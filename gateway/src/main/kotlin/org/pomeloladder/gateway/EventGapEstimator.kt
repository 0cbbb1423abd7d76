/*
 * How fast a model engine makes answers, measured from the streams that pass through the entry VMs. It includes
 * everything that slows an engine down: a crowded batch, prompts of other calls, neighbours on its machine.
 */
package org.pomeloladder.gateway

import kotlin.math.pow

/** Part of the average that stays after one more gap; about the last twenty count. */
private const val DECAY_PER_GAP = 0.95

/** An average without a new gap for this long says nothing any more. */
private const val STALE_MS = 3_000L

/** Time between events at one engine. 0 stands for no observation. */
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

    /** What this process saw lately. */
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

    /** The mean over this process and its peers; 0 when nobody has a stream there. */
    fun gapMs(nowMs: Long): Double {
        val ownMs = ownGapMs(nowMs)
        val count = peerCount + if (ownMs > 0) 1 else 0
        return if (count == 0) 0.0 else (peerTotalMs + ownMs) / count
    }
}

/** Learns how many tokens of the callers' estimates one event of a stream stands for. */
class AnswerLengthEstimator {
    private var tokens = 0.0
    private var events = 0.0

    fun addSample(expectedTokens: Int, actualEvents: Int) {
        if (expectedTokens <= 0 || actualEvents <= 0) return
        tokens = DECAY_PER_ANSWER * tokens + expectedTokens
        events = DECAY_PER_ANSWER * events + actualEvents
    }

    /** Events that an answer of [expectedTokens] tokens will have; 0 before any answer was seen. */
    fun expectedEvents(expectedTokens: Int): Double =
        if (tokens == 0.0) 0.0 else expectedTokens * events / tokens

    private companion object {
        /** About the last fifty answers count, since single estimates are often far off. */
        const val DECAY_PER_ANSWER = 0.98
    }
}
