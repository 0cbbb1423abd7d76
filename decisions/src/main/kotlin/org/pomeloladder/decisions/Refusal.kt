/*
 * Reasons why a request was not served, and whether it may have been executed.
 */
package org.pomeloladder.decisions

import kotlinx.serialization.Serializable

/** Whether refused work may have been executed. */
@Serializable
enum class RunState(val code: String) {
    /** Proven: no backend server has executed or will execute the work. */
    NOT_RUN("not-run"),

    /** The work may have been executed. For an order, a lookup of its key can tell. */
    UNKNOWN("unknown"),
}

/** Reasons for a refusal. [code] is a label value of the refusal counter. */
@Serializable
enum class RefusalReason(val code: String) {
    UNAUTHORIZED("unauthorized"),
    BAD_REQUEST("bad-request"),
    UNKNOWN_SERVICE("unknown-service"),
    SERVICE_NOT_ALLOWED("service-not-allowed"),
    RESIDENCY("residency"),
    NOT_READY("not-ready"),
    DRAINING("draining"),
    OVERLOADED("overloaded"),
    QUEUE_FULL("queue-full"),
    DEADLINE_UNREACHABLE("deadline-unreachable"),
    DEADLINE_EXCEEDED("deadline-exceeded"),
    NO_BACKEND("no-backend"),
    NOT_OWNER("not-owner"),
    EJECTED("ejected"),
    CONFIGURATION_BEHIND("configuration-behind"),
    PAUSED("paused"),
    PEER_UNREACHABLE("peer-unreachable"),
    BACKEND_UNREACHABLE("backend-unreachable"),
    BACKEND_FAILED("backend-failed"),
    BACKEND_BUSY("backend-busy"),
    CONNECTION_LOST("connection-lost"),
    HOME_REQUIRED("home-required"),
    HOME_GONE("home-gone"),
    ORDER_EXPIRED("order-expired"),
    ORDER_NOT_FOUND("order-not-found"),
    ORDER_IN_PROGRESS("order-in-progress"),
    WITHDRAWN("withdrawn"),
    CALLER_GONE("caller-gone"),
}

/**
 * A refused request. [runState] states whether the work may have been executed. [retryAfterMs] is
 * set if a later attempt can succeed.
 */
@Serializable
data class Refusal(
    val reason: RefusalReason,
    val runState: RunState = RunState.NOT_RUN,
    val detail: String = "",
    val retryAfterMs: Long? = null,
)

/** How an attempt ended, as observed by the traffic threads. */
@Serializable
sealed interface AttemptOutcome {
    /** The backend server's complete answer was delivered. */
    @Serializable
    data class Completed(val outputTokens: Int = 0, val cachedTokens: Int = 0) : AttemptOutcome

    /** No byte of the request can have reached a backend server. */
    @Serializable
    data class NotSent(val refusal: Refusal) : AttemptOutcome

    /** The request may have reached a backend server. [deliveredTokens] were passed on. */
    @Serializable
    data class Failed(val refusal: Refusal, val deliveredTokens: Int = 0) : AttemptOutcome

    /** Cancelled by a command of the control thread. */
    @Serializable
    data object Cancelled : AttemptOutcome
}
