/*
 * What placement answers: where a call should go, and what is expected of the place.
 */
package org.pomeloladder.gateway

/** Where a call should go. */
sealed interface Choice {
    /** A place that can be had; it is expected to give its first event after [waitMs]. */
    sealed interface Place : Choice {
        val waitMs: Double
        val costMs: Double
    }

    /**
     * A server of this region; [waitMs] is the expected time to its first event. [costMs] adds what the time of the rest
     * of the answer and the delay of other calls weigh against it. The server copies shared parts from [source].
     */
    data class Here(
        val backend: Backend,
        override val waitMs: Double,
        override val costMs: Double,
        val source: PartSource? = null,
    ) : Place

    /** A peer in another region. */
    data class There(val peer: Peer, override val waitMs: Double, override val costMs: Double) :
        Place

    /** No place at the moment. [retryAfterMs] says when one is expected. */
    data class Nowhere(val reason: CallRefusal, val retryAfterMs: Long) : Choice
}
