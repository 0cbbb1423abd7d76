/*
 * Carries out the commands of the control thread on traffic threads, and turns what happens to bytes into events.
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
import org.pomeloladder.peer.ReplyLink
import org.pomeloladder.peer.TrafficFrame

/** The traffic side of one process. */
class TrafficPlane(
    private val transport: PeerTransport,
    private val backendClient: BackendClient,
    private val platform: PlatformReader,
    private val seeds: List<Address>,
    private val onPeerRefused: (String) -> Unit,
    private val onStop: () -> Unit,
) : PeerHandler,
    AutoCloseable {
    private val callers = ConcurrentHashMap<RequestId, CallerExchange>()
    private val arrived = ConcurrentHashMap<AttemptId, PeerExchange>()
    private val forwarded = ConcurrentHashMap<AttemptId, Forwarded>()
    private val running = ConcurrentHashMap<AttemptId, BackendAttempt>()
    private val threads: ExecutorService = Executors.newCachedThreadPool { task ->
        Thread(task, "backend-call").apply { isDaemon = true }
    }
    private lateinit var events: EventSink

    /** The newest state that the control thread published. */
    @Volatile
    var view = TrafficView(null, emptyMap(), isReady = false, isDraining = false)
        private set

    private class Forwarded(val to: VmId, val exchange: CallerExchange)

    fun start(events: EventSink) {
        this.events = events
        transport.start(this)
    }

    /** Registers a caller's request before its event is posted. */
    fun open(exchange: CallerExchange) {
        callers[exchange.request] = exchange
    }

    /** Forgets a caller's request after its answer was read or its caller left. */
    fun release(exchange: CallerExchange) {
        exchange.close()
        callers.remove(exchange.request)
    }

    /** Carries [command] out without blocking. */
    fun execute(command: Command) {
        when (command) {
            is StartAttempt -> startAttempt(command)
            is StartForward -> startForward(command)
            is WithdrawForward -> transport.sendCancel(command.to, CancelFrame(command.attempt))
            is CancelAttempt -> cancel(command.attempt)
            is RefuseRequest -> callers[command.request]?.refuse(command.refusal)
            is CompleteRequest -> callers[command.request]?.complete()
            is RefuseForward -> refuseForward(command)
            is SendControl -> transport.sendControl(command.to, command.message)
            is SendToSeeds -> seeds.forEach { transport.sendToAddress(it, command.message) }
            is WatchPlatform -> platform.watch(command.isWatching, command.after)
            is EnsureModels -> threads.execute { ensureModels(command) }
            is PublishView -> publish(command.view)
            is StopProcess -> onStop()
        }
    }

    override fun close() {
        threads.shutdownNow()
        transport.close()
        backendClient.close()
    }

    override fun onControl(from: VmId, message: ControlMessage) =
        events.post(PeerControl(from, message))

    override fun onControlLink(vm: VmId, isUp: Boolean) =
        events.post(if (isUp) PeerLinkUp(vm) else PeerLinkDown(vm))

    override fun onTraffic(from: VmId, frame: TrafficFrame, replies: ReplyLink) {
        when (frame) {
            is ForwardFrame -> arrive(from, frame, replies)
            is CancelFrame -> events.post(ForwardCancelled(frame.attempt))
            is PartFrame -> part(frame)
            is EndFrame -> end(frame)
            is RefusedFrame -> forwarded.remove(
                frame.attempt,
            )?.exchange?.refused(frame.attempt, frame.refusal)
        }
    }

    override fun onForwardsLost(vm: VmId) {
        for ((id, lost) in forwarded) {
            if (lost.to != vm || forwarded.remove(id) == null) continue
            val refusal = Refusal(RefusalReason.CONNECTION_LOST, RunState.UNKNOWN, "peer $vm")
            lost.exchange.ended(id, AttemptOutcome.Failed(refusal))
        }
    }

    override fun onRepliesLost(vm: VmId, replies: ReplyLink) {
        for ((id, exchange) in arrived) {
            if (exchange.repliesOver(replies)) events.post(ForwardCancelled(id))
        }
    }

    override fun onRefusedPeer(reason: String) = onPeerRefused(reason)

    private fun startAttempt(command: StartAttempt) {
        val sink = arrived[command.attempt] ?: callers[command.spec.id]
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
        running[command.attempt] = attempt
        threads.execute { run(attempt) }
    }

    private fun run(attempt: BackendAttempt) {
        val result = backendClient.call(attempt)
        running.remove(attempt.id, attempt)
        when (result) {
            is BackendResult.OrderAbsent -> events.post(OrderAbsent(attempt.id))
            is BackendResult.LookUpFailed ->
                events.post(OrderLookupFailed(attempt.id, result.refusal))
            is BackendResult.Ended -> {
                arrived.remove(attempt.id)
                attempt.sink.ended(attempt.id, result.outcome)
            }
        }
    }

    private fun ensureModels(order: EnsureModels) {
        val outcome = backendClient.ensureModels(order)
        events.post(EngineOrderEnded(order.server.id, order.fencing, outcome))
    }

    private fun startForward(command: StartForward) {
        val exchange = callers[command.spec.id]
        if (exchange == null) {
            val refusal = Refusal(RefusalReason.CALLER_GONE)
            events.post(AttemptEnded(command.attempt, AttemptOutcome.NotSent(refusal)))
            return
        }
        forwarded[command.attempt] = Forwarded(command.to, exchange)
        val frame = ForwardFrame(
            attempt = command.attempt,
            spec = command.spec,
            wanted = command.chosenServer,
            fromToken = command.fromToken,
            payload = exchange.payload,
            deliveredText = exchange.deliveredText,
        )
        transport.sendForward(command.to, frame) {
            val lost = forwarded.remove(command.attempt)
            lost?.exchange?.refused(command.attempt, Refusal(RefusalReason.PEER_UNREACHABLE))
        }
    }

    private fun cancel(id: AttemptId) {
        running[id]?.cancel()
        val remote = forwarded.remove(id) ?: return
        transport.sendCancel(remote.to, CancelFrame(id))
        remote.exchange.ended(id, AttemptOutcome.Cancelled)
    }

    private fun refuseForward(command: RefuseForward) {
        arrived.remove(command.attempt)?.refused(command.attempt, command.refusal)
    }

    private fun publish(newView: TrafficView) {
        view = newView
        transport.updatePeers(newView.peerAddresses)
    }

    private fun arrive(from: VmId, frame: ForwardFrame, replies: ReplyLink) {
        // A frame that the network delivers twice must not take the answer away from the first one's connection.
        if (arrived.putIfAbsent(frame.attempt, PeerExchange(frame, replies, events)) != null) return
        events.post(ForwardArrived(from, frame.attempt, frame.spec, frame.wanted, frame.fromToken))
    }

    private fun part(frame: PartFrame) {
        val target = forwarded[frame.attempt] ?: return
        if (!target.exchange.part(frame.attempt, frame.part)) cancel(frame.attempt)
    }

    private fun end(frame: EndFrame) {
        forwarded.remove(frame.attempt)?.exchange?.ended(frame.attempt, frame.outcome)
    }
}
