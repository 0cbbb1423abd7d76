/*
 * Calls of backend servers over HTTP. A call runs on a traffic thread from its first byte to its last.
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
    val sink: AnswerSink,
) {
    @Volatile
    private var abort: (() -> Unit)? = null

    @Volatile
    var isCancelled = false
        private set

    /** Set before the first byte of the call is written. */
    @Volatile
    var isSendBegun = false

    /** Set when the head of the answer arrived. */
    @Volatile
    var isAnswered = false

    /** Stops the call from any thread, also before it has started. */
    fun cancel() {
        isCancelled = true
        abort?.invoke()
    }

    /** Sets what stops the call; runs it at once when the call is already cancelled. */
    fun onCancel(action: () -> Unit) {
        abort = action
        if (isCancelled) action()
    }
}

/** How a call of a backend server ended. */
sealed interface BackendResult {
    data class Ended(val outcome: AttemptOutcome) : BackendResult

    /** The lookup of an order found nothing. */
    data object OrderAbsent : BackendResult

    /** The lookup of an order gave no usable answer. */
    data class LookUpFailed(val refusal: Refusal) : BackendResult
}

/** Calls backend servers. */
interface BackendClient : AutoCloseable {
    /** Runs [attempt] to its end. Blocks; never throws for what a backend server does. */
    fun call(attempt: BackendAttempt): BackendResult

    /** Sends an engine order and waits for its answer. Never throws for what the engine does. */
    fun ensureModels(order: EnsureModels): EngineOrderOutcome
}
