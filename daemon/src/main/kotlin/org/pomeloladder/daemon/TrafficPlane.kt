/*
 * Executes the commands of the control thread on traffic threads, and reports the progress and the
 * outcome of calls to the control thread as events.
 */
package org.pomeloladder.daemon

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.AttemptEnded
import org.pomeloladder.decisions.AttemptId
import org.pomeloladder.decisions.AttemptOutcome
import org.pomeloladder.decisions.CancelAttempt
import org.pomeloladder.decisions.Command
import org.pomeloladder.decisions.CompleteRequest
import org.pomeloladder.decisions.ControlMessage
import org.pomeloladder.decisions.EngineOrderEnded
import org.pomeloladder.decisions.EnsureModels
import org.pomeloladder.decisions.ForwardArrived
import org.pomeloladder.decisions.ForwardCancelled
import org.pomeloladder.decisions.OrderAbsent
import org.pomeloladder.decisions.OrderLookupFailed
import org.pomeloladder.decisions.PeerControl
import org.pomeloladder.decisions.PeerLinkDown
import org.pomeloladder.decisions.PeerLinkUp
import org.pomeloladder.decisions.PublishView
import org.pomeloladder.decisions.Refusal
import org.pomeloladder.decisions.RefusalReason
import org.pomeloladder.decisions.RefuseForward
import org.pomeloladder.decisions.RefuseRequest
import org.pomeloladder.decisions.RequestId
import org.pomeloladder.decisions.RunState
import org.pomeloladder.decisions.SendControl
import org.pomeloladder.decisions.SendToSeeds
import org.pomeloladder.decisions.StartAttempt
import org.pomeloladder.decisions.StartForward
import org.pomeloladder.decisions.StopProcess
import org.pomeloladder.decisions.TrafficView
import org.pomeloladder.decisions.WatchPlatform
import org.pomeloladder.decisions.WithdrawForward
import org.pomeloladder.peer.CancelFrame
import org.pomeloladder.peer.EndFrame
import org.pomeloladder.peer.ForwardFrame
import org.pomeloladder.peer.PartFrame
import org.pomeloladder.peer.PeerHandler
import org.pomeloladder.peer.PeerTransport
import org.pomeloladder.peer.RefusedFrame
import org.pomeloladder.peer.ReplySender
import org.pomeloladder.peer.TrafficFrame

/** Runs callers' requests and forwarded attempts of one process. */
class TrafficPlane(
    private val transport: PeerTransport,
    private val backendClient: BackendClient,
    private val platform: PlatformReader,
    private val seeds: List<Address>,
    private val onHandshakeFailure: (String) -> Unit,
    private val onStop: () -> Unit,
) : PeerHandler,
    AutoCloseable {
    /** Requests of callers of this process. */
    private val callerExchanges = ConcurrentHashMap<RequestId, CallerExchange>()

    /** Attempts that other entry VMs forwarded to this process. */
    private val inbound = ConcurrentHashMap<AttemptId, PeerExchange>()

    /** Attempts that this process forwarded to other entry VMs. */
    private val outbound = ConcurrentHashMap<AttemptId, OutboundForward>()

    /** Calls of backend servers that are in progress. */
    private val runningAttempts = ConcurrentHashMap<AttemptId, BackendAttempt>()
    private val backendCallExecutor: ExecutorService = Executors.newCachedThreadPool { task ->
        Thread(task, "backend-call").apply { isDaemon = true }
    }
    private lateinit var events: EventSink

    /** The latest state that the control thread published. */
    @Volatile
    var view = TrafficView(null, emptyMap(), isReady = false, isDraining = false)
        private set

    private class OutboundForward(val to: VmId, val exchange: CallerExchange)

    fun start(events: EventSink) {
        this.events = events
        transport.start(this)
    }

    /** Registers a caller's request. Must be called before the request's event is posted. */
    fun register(exchange: CallerExchange) {
        callerExchanges[exchange.request] = exchange
    }

    /** Removes a caller's request after its response was read or its caller disconnected. */
    fun unregister(exchange: CallerExchange) {
        exchange.close()
        callerExchanges.remove(exchange.request)
    }

    /** Executes [command] without blocking. */
    fun execute(command: Command) {
        when (command) {
            is StartAttempt -> startAttempt(command)
            is StartForward -> startForward(command)
            is WithdrawForward -> transport.sendCancel(command.to, CancelFrame(command.attempt))
            is CancelAttempt -> cancel(command.attempt)
            is RefuseRequest -> callerExchanges[command.request]?.refuse(command.refusal)
            is CompleteRequest -> callerExchanges[command.request]?.complete()
            is RefuseForward -> refuseForward(command)
            is SendControl -> transport.sendControl(command.to, command.message)
            is SendToSeeds -> seeds.forEach { transport.sendToAddress(it, command.message) }
            is WatchPlatform -> platform.setWatching(command.isWatching, command.after)
            is EnsureModels -> backendCallExecutor.execute { ensureModels(command) }
            is PublishView -> publish(command.view)
            is StopProcess -> onStop()
        }
    }

    override fun close() {
        backendCallExecutor.shutdownNow()
        transport.close()
        backendClient.close()
    }

    override fun onControl(from: VmId, message: ControlMessage) =
        events.post(PeerControl(from, message))

    override fun onControlConnectionChange(vm: VmId, isUp: Boolean) =
        events.post(if (isUp) PeerLinkUp(vm) else PeerLinkDown(vm))

    override fun onTraffic(from: VmId, frame: TrafficFrame, replyTo: ReplySender) {
        when (frame) {
            is ForwardFrame -> receiveForward(from, frame, replyTo)
            is CancelFrame -> events.post(ForwardCancelled(frame.attempt))
            is PartFrame -> receivePart(frame)
            is EndFrame -> receiveEnd(frame)
            is RefusedFrame -> outbound.remove(
                frame.attempt,
            )?.exchange?.onRefused(frame.attempt, frame.refusal)
        }
    }

    override fun onForwardsLost(vm: VmId) {
        for ((id, lost) in outbound) {
            if (lost.to != vm || outbound.remove(id) == null) continue
            val refusal = Refusal(RefusalReason.CONNECTION_LOST, RunState.UNKNOWN, "peer $vm")
            lost.exchange.onEnded(id, AttemptOutcome.Failed(refusal))
        }
    }

    override fun onRepliesLost(vm: VmId, replyTo: ReplySender) {
        for ((id, exchange) in inbound) {
            if (exchange.repliesThrough(replyTo)) events.post(ForwardCancelled(id))
        }
    }

    override fun onHandshakeFailed(reason: String) = onHandshakeFailure(reason)

    private fun startAttempt(command: StartAttempt) {
        val sink = inbound[command.attempt] ?: callerExchanges[command.spec.id]
        if (sink == null) {
            val refusal = Refusal(RefusalReason.CALLER_GONE)
            events.post(AttemptEnded(command.attempt, AttemptOutcome.NotSent(refusal)))
            return
        }
        val attempt = BackendAttempt(
            id = command.attempt,
            spec = command.spec,
            server = command.server,
            call = command.call,
            fromToken = command.fromToken,
            sink = sink,
        )
        runningAttempts[command.attempt] = attempt
        backendCallExecutor.execute { run(attempt) }
    }

    private fun run(attempt: BackendAttempt) {
        val result = backendClient.call(attempt)
        runningAttempts.remove(attempt.id, attempt)
        when (result) {
            is BackendResult.OrderAbsent -> events.post(OrderAbsent(attempt.id))
            is BackendResult.LookupFailed ->
                events.post(OrderLookupFailed(attempt.id, result.refusal))
            is BackendResult.Ended -> {
                inbound.remove(attempt.id)
                attempt.sink.onEnded(attempt.id, result.outcome)
            }
        }
    }

    private fun ensureModels(order: EnsureModels) {
        val outcome = backendClient.ensureModels(order)
        events.post(EngineOrderEnded(order.server.id, order.fencing, outcome))
    }

    private fun startForward(command: StartForward) {
        val exchange = callerExchanges[command.spec.id]
        if (exchange == null) {
            val refusal = Refusal(RefusalReason.CALLER_GONE)
            events.post(AttemptEnded(command.attempt, AttemptOutcome.NotSent(refusal)))
            return
        }
        outbound[command.attempt] = OutboundForward(command.to, exchange)
        val frame = ForwardFrame(
            attempt = command.attempt,
            spec = command.spec,
            wanted = command.chosenServer,
            fromToken = command.fromToken,
            payload = exchange.payload,
            deliveredText = exchange.deliveredText,
        )
        transport.sendForward(command.to, frame) {
            val lost = outbound.remove(command.attempt)
            lost?.exchange?.onRefused(command.attempt, Refusal(RefusalReason.PEER_UNREACHABLE))
        }
    }

    private fun cancel(id: AttemptId) {
        runningAttempts[id]?.cancel()
        val remote = outbound.remove(id) ?: return
        transport.sendCancel(remote.to, CancelFrame(id))
        remote.exchange.onEnded(id, AttemptOutcome.Cancelled)
    }

    private fun refuseForward(command: RefuseForward) {
        inbound.remove(command.attempt)?.onRefused(command.attempt, command.refusal)
    }

    private fun publish(newView: TrafficView) {
        view = newView
        transport.updatePeers(newView.peerAddresses)
    }

    private fun receiveForward(from: VmId, frame: ForwardFrame, replyTo: ReplySender) {
        // If a forward frame arrives twice, the response must stay on the first frame's connection.
        if (inbound.putIfAbsent(frame.attempt, PeerExchange(frame, replyTo, events)) != null) return
        events.post(ForwardArrived(from, frame.attempt, frame.spec, frame.wanted, frame.fromToken))
    }

    private fun receivePart(frame: PartFrame) {
        val target = outbound[frame.attempt] ?: return
        if (!target.exchange.onPart(frame.attempt, frame.part)) cancel(frame.attempt)
    }

    private fun receiveEnd(frame: EndFrame) {
        outbound.remove(frame.attempt)?.exchange?.onEnded(frame.attempt, frame.outcome)
    }
}
