/*
 * Processes in three regions that exchange datagrams and relay calls, with engines that read one prompt after another.
 * Everything takes place in steps of simulated time.
 */
package org.pomeloladder.gateway

import java.util.PriorityQueue
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.decisions.RequestId

private const val STEP_MS = 5L
private const val NEAR_MS = 1L
private const val FAR_MS = 80L
private const val READ_TOKENS_PER_MS = 50.0

/** An engine that reads one prompt after another and keeps every shared part. */
internal class TestEngine(val id: BackendServerId, val region: RegionId) {
    private val kept = HashSet<PartId>()
    private var busyUntilMs = 0.0

    /** Shared parts that this engine read, and all tokens that it read. */
    val readParts = HashSet<PartId>()
    var readTokens = 0L

    /** Reads [prompt] from [nowMs] on; returns when it is done. */
    fun read(prompt: Prompt, nowMs: Long): Long {
        val unread = prompt.parts.filterNot { it.id in kept }
        kept += unread.map { it.id }
        readParts += unread.map { it.id }.intersect(prompt.sharedParts.map { it.id }.toSet())
        val tokens = unread.sumOf { it.tokens }
        readTokens += tokens
        busyUntilMs = maxOf(busyUntilMs, nowMs.toDouble()) + tokens / READ_TOKENS_PER_MS
        return busyUntilMs.toLong()
    }
}

/** [vmsPerRegion] processes and [enginesPerRegion] engines in each region. */
internal class TestFleet(vmsPerRegion: Int, enginesPerRegion: Int) {
    private class Due(val atMs: Long, val order: Long, val run: () -> Unit)

    private class Vm(val identity: PeerIdentity, val gateway: TestGateway) {
        val inbox = ArrayList<GatewayEvent>()

        /** For each relayed call, the process and the send that wait for it. */
        val relays = HashMap<CallId, Pair<Vm, SendId>>()
    }

    private val regions = listOf(NORTH, SOUTH, EAST)
    private val isolatedRegions = HashSet<RegionId>()
    private val due = PriorityQueue<Due>(compareBy<Due> { it.atMs }.thenBy { it.order })
    private var nextOrder = 0L
    private var nextCall = 0L
    private var nowMs = 1_000L
    private val vms = regions.flatMap { region ->
        List(vmsPerRegion) { i ->
            val identity = identity("$region-$i", region)
            Vm(identity, TestGateway(i + region.value.hashCode(), self = identity))
        }
    }
    private val byAddress = vms.associateBy { it.identity.gossip }
    private val byVm = vms.associateBy { it.identity.vm }
    private val asked = HashMap<RequestId, Long>()

    /** Time from each call to its first event, in the order of the first events. */
    val firstEventsMs = ArrayList<Long>()
    val engines = regions.flatMap { region ->
        List(enginesPerRegion) { i -> TestEngine(BackendServerId("$region-e$i"), region) }
    }
    private val byEngine = engines.associateBy { it.id }

    init {
        vms.forEach { it.gateway.world.seeds = listOf(vms.first().identity.gossip) }
    }

    fun publish(service: ServiceId, vararg routes: Route) {
        val records = engines.map {
            server(it.id.value, service, it.region) { record -> record.copy(slots = 64) }
        }
        val view = PublishedView(1, catalog(*routes), records, emptySet())
        vms.forEach { it.inbox += ViewReceived(view, ViewSource.PLATFORM) }
    }

    /** No datagram and no relay passes between [region] and the others any more. */
    fun isolate(region: RegionId) {
        isolatedRegions += region
    }

    /** A caller of [region] sends a call to the process number [vm] there. */
    fun call(region: RegionId, vm: Int, route: Route, prompt: Prompt) {
        val entry = vms.filter { it.identity.region == region }.let { it[vm % it.size] }
        val id = RequestId("request-${++nextCall}")
        asked[id] = nowMs
        entry.inbox += CallArrived(
            CallId(nextCall),
            CallSpec(id, route.host, "${route.prefix}x", route.timeoutMs, prompt, null),
        )
    }

    /** Lets [durationMs] pass; [each] is called at every step with the time since the beginning. */
    fun run(durationMs: Long, each: (Long) -> Unit = {}) {
        val endMs = nowMs + durationMs
        while (nowMs < endMs) {
            nowMs += STEP_MS
            each(nowMs - endMs + durationMs)
            while (due.isNotEmpty() && due.peek().atMs <= nowMs) due.poll().run()
            vms.forEach(::tick)
        }
    }

    private fun tick(vm: Vm) {
        val events = vm.inbox.toTypedArray()
        vm.inbox.clear()
        vm.gateway.nowMs = nowMs
        for (command in vm.gateway.tick(*events, afterMs = 0)) carryOut(vm, command)
    }

    private fun carryOut(vm: Vm, command: GatewayCommand) {
        when (command) {
            is SendGossip -> {
                val to = byAddress[command.to] ?: return
                val received = GossipReceived(vm.identity.gossip, command.message, command.echo)
                between(vm, to) { to.inbox += received }
            }
            is StartSend -> start(vm, command)
            is EndStream -> vm.relays.remove(command.call)?.let { (origin, send) ->
                between(vm, origin) {
                    origin.inbox += SendEnded(send, SendOutcome.Answered(200), null)
                }
            }
            is RefuseCall -> vm.relays.remove(command.call)?.let { (origin, send) ->
                val outcome = SendOutcome.NotRun(NotRunReason.PEER_REFUSED, hasArrived = false)
                between(vm, origin) { origin.inbox += SendEnded(send, outcome, null) }
            }
            else -> Unit
        }
    }

    private fun start(vm: Vm, start: StartSend) {
        val spec = checkNotNull(vm.gateway.world.calls[start.call]).spec
        when (val target = start.target) {
            is SendTarget.Peer -> {
                val peer = checkNotNull(byVm[target.vm])
                val origin = CallOrigin.Peer(vm.identity.vm, target.catalogVersion)
                val id = CallId(++nextCall)
                between(vm, peer) {
                    peer.relays[id] = vm to start.send
                    peer.inbox += CallArrived(id, spec.copy(origin = origin))
                }
            }
            is SendTarget.Server -> {
                val engine = checkNotNull(byEngine[target.id])
                check(engine.region == vm.identity.region) { "engines serve their own region" }
                val readMs = engine.read(checkNotNull(spec.prompt), nowMs)
                at(readMs) { started(vm, start) }
                at(readMs + 1) {
                    vm.inbox += SendEnded(start.send, SendOutcome.Answered(200), null)
                }
            }
        }
    }

    private fun started(vm: Vm, start: StartSend) {
        vm.inbox += AnswerStarted(start.send, null)
        val call = vm.gateway.world.calls[start.call] ?: return
        val relay = vm.relays[start.call]
        if (relay == null) {
            firstEventsMs += nowMs - asked.getValue(call.spec.requestId)
        } else {
            between(vm, relay.first) {
                started(
                    relay.first,
                    start.copy(
                        send = relay.second,
                        call = checkNotNull(callOf(relay.first, relay.second)),
                    ),
                )
            }
        }
    }

    private fun callOf(vm: Vm, send: SendId) = vm.gateway.world.sends[send]?.call

    private fun between(from: Vm, to: Vm, run: () -> Unit) {
        val a = from.identity.region
        val b = to.identity.region
        if (a != b && (a in isolatedRegions || b in isolatedRegions)) return
        at(nowMs + if (a == b) NEAR_MS else FAR_MS, run)
    }

    private fun at(timeMs: Long, run: () -> Unit) {
        due += Due(timeMs, nextOrder++, run)
    }
}
