/*
 * Simulates gateway processes in three regions that exchange datagrams and relay calls, and model
 * engines that process one prompt at a time. Time advances in fixed steps.
 */
package org.pomeloladder.gateway

import java.util.PriorityQueue
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.decisions.RequestId

private const val STEP_MS = 5L
private const val LOCAL_DELAY_MS = 1L
private const val REMOTE_DELAY_MS = 80L
private const val PROMPT_TOKENS_PER_MS = 50.0

/** A model engine that processes one prompt at a time and caches every part. */
internal class TestEngine(val id: BackendServerId, val region: RegionId) {
    private val cachedParts = HashSet<PartId>()
    private var busyUntilMs = 0.0

    /**
     * Shared parts and total number of tokens that this engine processed without finding them in
     * its cache.
     */
    val readParts = HashSet<PartId>()
    var readTokens = 0L

    /** Queues [prompt] at [nowMs] and returns the time at which it has been processed. */
    fun read(prompt: Prompt, nowMs: Long): Long {
        val uncached = prompt.parts.filterNot { it.id in cachedParts }
        cachedParts += uncached.map { it.id }
        readParts += uncached.map { it.id }.intersect(prompt.sharedParts.map { it.id }.toSet())
        val tokens = uncached.sumOf { it.tokens }
        readTokens += tokens
        busyUntilMs = maxOf(busyUntilMs, nowMs.toDouble()) + tokens / PROMPT_TOKENS_PER_MS
        return busyUntilMs.toLong()
    }
}

/** A fleet with [vmsPerRegion] processes and [enginesPerRegion] engines in each region. */
internal class TestFleet(vmsPerRegion: Int, enginesPerRegion: Int) {
    private class Action(val atMs: Long, val order: Long, val run: () -> Unit)

    private class Vm(val identity: PeerIdentity, val gateway: TestGateway) {
        val inbox = ArrayList<GatewayEvent>()

        /** For each relayed call, the process that relayed it and its send. */
        val relays = HashMap<CallId, Pair<Vm, SendId>>()
    }

    private val regions = listOf(NORTH, SOUTH, EAST)
    private val isolatedRegions = HashSet<RegionId>()
    private val scheduled = PriorityQueue<Action>(compareBy<Action> { it.atMs }.thenBy { it.order })
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
    private val arrivedMs = HashMap<RequestId, Long>()

    /** Time from the arrival of each call to its first event, in the order of the first events. */
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

    /**
     * Blocks all datagrams and relayed calls between [region] and the other regions from now on.
     */
    fun isolate(region: RegionId) {
        isolatedRegions += region
    }

    /** Sends a call to process [vm] of [region], modulo the number of processes there. */
    fun call(region: RegionId, vm: Int, route: Route, prompt: Prompt) {
        val entry = vms.filter { it.identity.region == region }.let { it[vm % it.size] }
        val id = RequestId("request-${++nextCall}")
        arrivedMs[id] = nowMs
        entry.inbox += CallArrived(
            CallId(nextCall),
            CallSpec(id, route.host, "${route.prefix}x", route.timeoutMs, prompt, null),
        )
    }

    /**
     * Simulates [durationMs]. [each] is called at every step with the time since the start of this
     * run.
     */
    fun run(durationMs: Long, each: (Long) -> Unit = {}) {
        val endMs = nowMs + durationMs
        while (nowMs < endMs) {
            nowMs += STEP_MS
            each(nowMs - endMs + durationMs)
            while (scheduled.isNotEmpty() && scheduled.peek().atMs <= nowMs) scheduled.poll().run()
            vms.forEach(::tick)
        }
    }

    private fun tick(vm: Vm) {
        val events = vm.inbox.toTypedArray()
        vm.inbox.clear()
        vm.gateway.nowMs = nowMs
        for (command in vm.gateway.tick(*events, afterMs = 0)) execute(vm, command)
    }

    private fun execute(vm: Vm, command: GatewayCommand) {
        when (command) {
            is SendGossip -> {
                val to = byAddress[command.to] ?: return
                val received = GossipReceived(vm.identity.gossip, command.message, command.echo)
                deliver(vm, to) { to.inbox += received }
            }
            is StartSend -> start(vm, command)
            is EndStream -> vm.relays.remove(command.call)?.let { (origin, send) ->
                deliver(vm, origin) {
                    origin.inbox += SendEnded(send, SendOutcome.Answered(200), null)
                }
            }
            is RefuseCall -> vm.relays.remove(command.call)?.let { (origin, send) ->
                val outcome = SendOutcome.NotRun(NotRunReason.PEER_REFUSED, hasArrived = false)
                deliver(vm, origin) { origin.inbox += SendEnded(send, outcome, null) }
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
                deliver(vm, peer) {
                    peer.relays[id] = vm to start.send
                    peer.inbox += CallArrived(id, spec.copy(origin = origin))
                }
            }
            is SendTarget.Server -> {
                val engine = checkNotNull(byEngine[target.id])
                check(engine.region == vm.identity.region) { "engines serve their own region" }
                val readMs = engine.read(checkNotNull(spec.prompt), nowMs)
                schedule(readMs) { reportAnswerStarted(vm, start) }
                schedule(readMs + 1) {
                    vm.inbox += SendEnded(start.send, SendOutcome.Answered(200), null)
                }
            }
        }
    }

    private fun reportAnswerStarted(vm: Vm, start: StartSend) {
        vm.inbox += AnswerStarted(start.send, null)
        val call = vm.gateway.world.calls[start.call] ?: return
        val relay = vm.relays[start.call]
        if (relay == null) {
            firstEventsMs += nowMs - arrivedMs.getValue(call.spec.requestId)
        } else {
            deliver(vm, relay.first) {
                reportAnswerStarted(
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

    private fun deliver(from: Vm, to: Vm, run: () -> Unit) {
        val a = from.identity.region
        val b = to.identity.region
        if (a != b && (a in isolatedRegions || b in isolatedRegions)) return
        schedule(nowMs + if (a == b) LOCAL_DELAY_MS else REMOTE_DELAY_MS, run)
    }

    private fun schedule(timeMs: Long, run: () -> Unit) {
        scheduled += Action(timeMs, nextOrder++, run)
    }
}
