/*
 * Calls of backend servers over HTTP. Each call occupies a traffic thread until it ends.
 */
package org.pomeloladder.daemon

import org.pomeloladder.configuration.BackendServerRecord
import org.pomeloladder.decisions.AttemptId
import org.pomeloladder.decisions.AttemptOutcome
import org.pomeloladder.decisions.BackendCall
import org.pomeloladder.decisions.EngineOrderOutcome
import org.pomeloladder.decisions.EnsureModels
import org.pomeloladder.decisions.Refusal
import org.pomeloladder.decisions.RequestSpec

/** One call of a backend server. */
class BackendAttempt(
    val id: AttemptId,
    val spec: RequestSpec,
    val server: BackendServerRecord,
    val call: BackendCall,
    val fromToken: Int,
    val sink: ResponseSink,
) {
    @Volatile
    private var cancelAction: (() -> Unit)? = null

    @Volatile
    var isCancelled = false
        private set

    /** Set before the first byte of the call is written. */
    @Volatile
    var isSendStarted = false

    /** Set when the response head arrives. */
    @Volatile
    var isResponseStarted = false

    /** Cancels the call. May be called from any thread, also before the call starts. */
    fun cancel() {
        isCancelled = true
        cancelAction?.invoke()
    }

    /** Sets the action that aborts the call. Runs it at once if the call is already cancelled. */
    fun onCancel(action: () -> Unit) {
        cancelAction = action
        if (isCancelled) action()
    }
}

/** The result of a call of a backend server. */
sealed interface BackendResult {
    data class Ended(val outcome: AttemptOutcome) : BackendResult

    /** The backend server does not know the order that was looked up. */
    data object OrderAbsent : BackendResult

    /** The lookup of an order was inconclusive. */
    data class LookupFailed(val refusal: Refusal) : BackendResult
}

/** Calls backend servers. */
interface BackendClient : AutoCloseable {
    /**
     * Runs [attempt] and blocks until it ends. Failures of the backend server are returned, never
     * thrown.
     */
    fun call(attempt: BackendAttempt): BackendResult

    /**
     * Sends an engine order and blocks until the engine responds. Failures of the engine are
     * returned, never thrown.
     */
    fun ensureModels(order: EnsureModels): EngineOrderOutcome
}
