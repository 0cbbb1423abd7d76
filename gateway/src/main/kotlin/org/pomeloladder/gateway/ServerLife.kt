/*
 * What is known of one life of a backend server, from a start of its process to the next one. A
 * server may start again under its id; it then holds and knows nothing of before. All that is known
 * of the earlier life is dropped as a whole.
 */
package org.pomeloladder.gateway

/**
 * A load report is out of date after about a second: by then the server's queue and the other load
 * of its machine have changed.
 */
private const val REPORT_VALID_MS = 1_000L

/** Long before any time of the steady clock. */
internal const val NEVER_MS = Long.MIN_VALUE / 2

/**
 * Observations of the life of a server that this process learned of at [learnedMs]. [version] is that
 * of its software, or null while it is not known for this life.
 */
class ServerLife(val learnedMs: Long = NEVER_MS, var version: SoftwareVersion? = null) {
    /** The latest load report of the server and the time of its arrival. */
    var lastReport: LoadReport? = null
    var lastReportMs = 0L

    /** Returns the latest report, or null when it is out of date. */
    fun freshReport(nowMs: Long): LoadReport? =
        lastReport?.takeIf { nowMs - lastReportMs < REPORT_VALID_MS }

    val limit = ServerLimit()

    /** Time until which the server gets nothing after a rejection, if it is brittle. */
    var fullUntilMs = NEVER_MS

    /** Moving average of the failures that this process observed, from 0 to 1. */
    var failureRate = 0.0

    var lastHeardMs = NEVER_MS

    /**
     * Times of the last health check sent because the server was silent, and of the last health
     * check without an answer.
     */
    var lastHealthCheckMs = NEVER_MS
    var lastHealthTimeoutMs = NEVER_MS

    /**
     * Time at which this process saw the server start to drain; null when it does not drain or was
     * already draining when first seen.
     */
    var drainingSinceMs: Long? = null

    /** Time from which this process or a peer knows from the server itself that it leaves. */
    var leavingSinceMs: Long? = null

    /**
     * Likewise for the life before, if the store told of this one afterwards: it may have told late
     * of the life that leaves. The server gets nothing until a health check shows which it was.
     */
    var maybeLeavingSinceMs: Long? = null

    /** Whether an unreadable header was logged. */
    var hasUnreadableHeader = false

    /** Whether another instance now runs at the server's address. */
    var isReplaced = false
    var coldUntilMs = 0L
    val cache = PrefixCache()
    val gapEstimator = EventGapEstimator()

    /**
     * Prompt tokens that this process sent recently, decaying over time; the other VMs of the
     * region report theirs in datagrams.
     */
    var recentPromptTokens = 0.0
}
