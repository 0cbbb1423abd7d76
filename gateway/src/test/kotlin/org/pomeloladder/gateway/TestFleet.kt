/*
 * Simulates gateway processes in three regions that exchange datagrams and relay calls, and model
 * engines that process one prompt at a time. Time advances in fixed steps.
 */
package org.pomeloladder.gateway

import java.util.PriorityQueue
import kotlin.random.Random
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.RequestId

private const val STEP_MS = 5L
private const val LOCAL_DELAY_MS = 1L
private const val REMOTE_DELAY_MS = 80L
private const val PROMPT_TOKENS_PER_MS = 50.0

/** Time between the beginning of an answer and the crash of an engine on a deadly part. */
private const val CRASH_DELAY_MS = 60L

private const val MS_PER_S = 1_000L

/** Time after which keep-alive ends a connection to a silent host. */
private const val KEEP_ALIVE_MS = 3_000L
private const val HEALTH_TIMEOUT_MS = 400L

/** Time that a crashed engine needs to start again. */
private const val RESTART_MS = 3_000L

/** What an engine has sent of an answer when the prompt crashes it. */
enum class CrashPoint { WITHIN_HEAD, AFTER_HEAD, AFTER_FIRST_EVENT }

/** A send of one process. */
internal data class TestSend(val vm: VmId, val send: SendId)

/**
 * A send that waits or runs at an engine. [beganAtMs] is null before the head of its answer, and
 * [firstEventAtMs] before its first event.
 */
internal class TestRun(val key: TestSend, val startedMs: Long) {
    var beganAtMs: Long? = null
    var firstEventAtMs: Long? = null
}

/** What becomes of the connections of a process that is cut off from all engines. */
enum class EngineCut {
    /** Nothing comes through: new connections time out, and open ones end by keep-alive. */
    SILENT,

    /** New connections are refused, and open ones are reset. */
    REFUSED,

    /** New connections are refused, but open ones live on. */
    ONLY_NEW_REFUSED,
}

/** Arrival of a call that began [lateMs] after [vm], which sent it, knew that the engine leaves. */
internal class ArrivalAfterLeaving(val vm: VmId, val lateMs: Long)

/** A model engine that processes one prompt at a time and caches every part. */
internal class TestEngine(val id: BackendServerId, val region: RegionId) {
    private val cachedParts = HashSet<PartId>()
    private var busyUntilMs = 0.0

    /** Sends that wait for their first event. */
    val runs = LinkedHashMap<TestSend, TestRun>()
    var upAtMs = 0L

    /** Number of starts; a new one is a new incarnation. */
    var starts = 1L

    /** Version of its software, and of the one that it starts with next. */
    var version: SoftwareVersion? = SoftwareVersion("v1")
    var nextVersion: SoftwareVersion? = null

    /** The limit that the engine names in its answers, and the times at which calls reached it. */
    var limitPerS: Double? = null
    val arrivalTimesMs = ArrayList<Long>()

    /** Calls that run or wait at the engine at most; it rejects more of them. */
    var places = Int.MAX_VALUE

    /** The rejections a second beyond which the engine says that it falls over, and does. */
    var brittlePerS: Double? = null
    private val rejectionTimesMs = ArrayList<Long>()

    /** Counts a rejection, and returns whether the engine falls over by it. */
    fun reject(nowMs: Long): Boolean {
        rejectionTimesMs += nowMs
        val recent = rejectionTimesMs.count { it > nowMs - MS_PER_S }
        return recent > (brittlePerS ?: return false)
    }

    /**
     * Whether the engine says in its answers that it leaves, the time at which it first told each
     * process in an answer to a call, and the calls that reached it after that.
     */
    var isLeaving = false
    val leavingToldMs = HashMap<VmId, Long>()
    val arrivalsAfterLeaving = ArrayList<ArrivalAfterLeaving>()

    /** How long the engine is cold after a restart, and the arrivals while it was. */
    var coldMs = 0L
    val coldArrivalTimesMs = ArrayList<Long>()

    fun isUp(nowMs: Long) = nowMs >= upAtMs

    fun coldForMs(nowMs: Long): Long =
        if (starts == 1L) 0 else (upAtMs + coldMs - nowMs).coerceAtLeast(0)

    fun crash(nowMs: Long, downMs: Long) {
        upAtMs = nowMs + downMs
        busyUntilMs = upAtMs.toDouble()
        cachedParts.clear()
        runs.clear()
        isLeaving = false
        leavingToldMs.clear()
    }

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

    private class Vm(var identity: PeerIdentity, var gateway: TestGateway) {
        val inbox = ArrayList<GatewayEvent>()

        /** For each relayed call, the process that relayed it and its send. */
        val relays = HashMap<CallId, Pair<Vm, SendId>>()
    }

    private val regions = listOf(NORTH, SOUTH, EAST)
    private val isolatedRegions = HashSet<RegionId>()
    private val isolatedVms = HashSet<VmId>()

    private val vmsWithoutStore = HashSet<VmId>()

    /** Processes that are cut off from all engines, but from nobody else. */
    private val engineCuts = HashMap<VmId, EngineCut>()
    private val scheduled = PriorityQueue<Action>(compareBy<Action> { it.atMs }.thenBy { it.order })
    private var nextOrder = 0L
    private var nextCall = 0L
    var nowMs = 1_000L
        private set
    private val vms = regions.flatMap { region ->
        List(vmsPerRegion) { i ->
            val identity = identity("$region-$i", region)
            Vm(identity, TestGateway(i + region.value.hashCode(), self = identity))
        }
    }
    private val byAddress = vms.associateBy { it.identity.gossip }
    private val byVm = vms.associateBy { it.identity.vm }
    private val arrivedMs = HashMap<RequestId, Long>()

    /** What the callers hold of their streams. */
    val streams = TestStreams()
    private var revision = 0L
    private var publishedService = MODEL
    private var publishedView: PublishedView? = null
    private var publishedRoutes = emptyArray<Route>()

    /** A part that crashes each engine that begins to answer a prompt with it. */
    var deadlyPart: PartId? = null
    var crashPoint = CrashPoint.AFTER_HEAD

    /** Share of the requests that each engine rejects without running them. */
    var rejectedShare = 0.0
    private val rejections = Random(1)

    /** Number of calls that processes handed to each other. */
    var relays = 0
        private set

    /** Times at which callers sent requests, and at which each request reached an engine. */
    val requestTimesMs = ArrayList<Long>()
    val arrivalTimesMs = LinkedHashMap<RequestId, ArrayList<Long>>()

    /** Slots of each engine by its entry. */
    var engineSlots = 64

    /** Time from the first event of an answer to its end. */
    var answerMs = 1L

    /** Time after which processes read from the store that an engine has started again. */
    var storeDelayMs = 0L

    /** Whether processes keep idle connections to engines, and notice when these end. */
    var keepsConnections = false
    private val connections = HashSet<Pair<VmId, BackendServerId>>()

    /** Engines whose entries are missing from the store. */
    private val expiredEngines = HashSet<BackendServerId>()

    /** Times at which engines crashed, and at which prompts with [deadlyPart] reached engines. */
    val crashesMs = ArrayList<Long>()
    val deadlyArrivalsMs = ArrayList<Long>()

    /** Calls of callers, by request, that ended with a refusal. */
    val refusals = LinkedHashMap<RequestId, CallRefusal>()

    /** Times after which callers were told to come back, and the ages of refused calls. */
    val retryAfterMs = ArrayList<Long?>()
    val refusalAgesMs = LinkedHashMap<RequestId, Long>()
    private val requests = HashMap<Pair<VmId, CallId>, RequestId>()

    /** Called when a caller's call is refused. */
    var onRefused: (RequestId) -> Unit = {}

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
        publishedService = service
        publishedRoutes = arrayOf(*routes)
        publishView()
    }

    private fun publishView() {
        val records = engines.filterNot { it.id in expiredEngines }
            .map { engineRecord(it, it.starts, it.coldForMs(nowMs)) }
        publish(PublishedView(++revision, catalog(*publishedRoutes), records, emptySet()))
    }

    private fun engineRecord(engine: TestEngine, starts: Long, coldForMs: Long) =
        server(engine.id.value, publishedService, engine.region) {
            it.copy(
                slots = engineSlots,
                startedAtUnixMs = starts,
                coldForMs = coldForMs,
                version = engine.version,
            )
        }

    private fun publish(view: PublishedView) {
        publishedView = view
        for (vm in vms.filter { it.identity.vm !in vmsWithoutStore }) {
            vm.inbox += PlatformReachability(isReachable = true)
            vm.inbox += ViewReceived(view, ViewSource.PLATFORM)
        }
    }

    /** Lets the entry of [engine] expire. */
    fun expireEntry(engine: TestEngine) {
        expiredEngines += engine.id
        publishView()
    }

    /** Lets the store come back from a copy that holds all engines as they were at the start. */
    fun restoreFirstEntries() {
        expiredEngines.clear()
        val view = checkNotNull(publishedView)
        val records = engines.map { engineRecord(it, starts = 1, coldForMs = 0) }
        publish(view.copy(revision = ++revision, backends = records))
    }

    /** Returns the parts that any process has quarantined. */
    fun quarantinedParts(): Set<PartId> =
        vms.flatMap { it.gateway.world.suspectParts }.filter { it.isQuarantined }
            .map { it.id }
            .toSet()

    /**
     * Blocks all datagrams and relayed calls between [region] and the other regions from now on.
     */
    fun isolate(region: RegionId) {
        isolatedRegions += region
    }

    /** Blocks all datagrams and relayed calls of process [index] of [region] from now on. */
    fun isolate(region: RegionId, index: Int) {
        isolatedVms += vmOf(region, index).identity.vm
    }

    /** Lets process [index] of [region] alone know [origin], whose version it could not tell. */
    fun knowWithoutVersion(region: RegionId, index: Int, origin: StreamOrigin) {
        vmOf(region, index).gateway.world.streams.put(origin, nowMs).isTold = true
    }

    /** Lets process [index] of [region] hear no more from the store, without noticing it. */
    fun cutFromStore(region: RegionId, index: Int) {
        vmsWithoutStore += vmOf(region, index).identity.vm
    }

    /** Cuts process [index] of [region] off from all engines from now on. */
    fun cutFromEngines(region: RegionId, index: Int, cut: EngineCut) {
        val vm = vmOf(region, index)
        engineCuts[vm.identity.vm] = cut
        if (cut == EngineCut.ONLY_NEW_REFUSED) return
        val lostAtMs = if (cut == EngineCut.SILENT) nowMs + KEEP_ALIVE_MS else nowMs
        for (engine in engines) {
            val lost = engine.runs.values.filter { it.key.vm == vm.identity.vm }
            lost.forEach { engine.runs.remove(it.key) }
            schedule(lostAtMs) {
                vm.inbox += lost.map(::lostSend)
                val wasConnected = connections.remove(vm.identity.vm to engine.id)
                if (wasConnected && keepsConnections) vm.inbox += IdleConnectionLost(engine.id)
            }
        }
    }

    /** Ends all cuts between processes and engines. */
    fun reconnectToEngines() = engineCuts.clear()

    /** Removes the entry of [engine] and the engine, as when a server has left. */
    fun remove(engine: TestEngine) {
        engine.upAtMs = Long.MAX_VALUE
        expireEntry(engine)
    }

    /** Adds [engine] and its entry. */
    fun add(engine: TestEngine) {
        engine.upAtMs = 0
        expiredEngines -= engine.id
        publishView()
    }

    /** Ends all processes and starts them anew. */
    fun restartAll() = vms.forEach(::restart)

    /** Ends process [index] of [region] with all its calls, and starts it anew. */
    fun restart(region: RegionId, index: Int) = restart(vmOf(region, index))

    private fun restart(vm: Vm) {
        val region = vm.identity.region
        requests.keys.filter { it.first == vm.identity.vm }.forEach { key ->
            requests.remove(key)?.let(streams::breakOff)
        }
        val incarnation = vm.identity.incarnation.value + 1
        vm.identity = identity(vm.identity.vm.value, region, incarnation)
        val seeds = vm.gateway.world.seeds
        vm.gateway = TestGateway(incarnation.toInt(), self = vm.identity, uptimeMs = 0)
        vm.gateway.nowMs = nowMs
        vm.gateway.world.process.startedMs = nowMs
        vm.gateway.world.seeds = seeds
        vm.inbox.clear()
        vm.relays.clear()
        engines.forEach { engine ->
            engine.runs.keys.removeIf { it.vm == vm.identity.vm }
            engine.leavingToldMs.remove(vm.identity.vm)
        }
        vm.inbox += PlatformReachability(isReachable = true)
        vm.inbox += ViewReceived(checkNotNull(publishedView), ViewSource.PLATFORM)
    }

    private fun vmOf(region: RegionId, index: Int) =
        vms.filter { it.identity.region == region }.let { it[index % it.size] }

    /**
     * Sends a call to process [vm] of [region], modulo the number of processes there, and returns
     * its request. It goes on with the stream of [resumes], which its caller calls [named].
     */
    fun call(
        region: RegionId,
        vm: Int,
        route: Route,
        prompt: Prompt,
        resumes: RequestId? = null,
        named: RequestId? = resumes,
    ): RequestId {
        val entry = vmOf(region, vm)
        val id = RequestId("request-${++nextCall}")
        arrivedMs[id] = nowMs
        requestTimesMs += nowMs
        requests[entry.identity.vm to CallId(nextCall)] = id
        entry.inbox += CallArrived(
            CallId(nextCall),
            CallSpec(
                requestId = id,
                host = route.host,
                path = "${route.prefix}x",
                budgetMs = route.timeoutMs,
                prompt = prompt,
                resumeAfter = resumes?.let { 1 },
                resumedRequest = named,
            ),
        )
        streams.add(id, resumes)
        return id
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
            is SendStreamMessage -> {
                val to = byAddress[command.to] ?: return
                val received = StreamMessageReceived(vm.identity.gossip, command.message)
                deliver(vm, to) { to.inbox += received }
            }
            is StartSend -> start(vm, command)
            is EndStream -> endStream(vm, command.call)
            is RefuseCall -> refuse(vm, command)
            is CancelSend -> engines.forEach {
                it.runs.remove(TestSend(vm.identity.vm, command.send))
            }
            is CheckHealth -> checkHealth(vm, command)
            else -> Unit
        }
    }

    private fun endStream(vm: Vm, call: CallId) {
        val (origin, send) = vm.relays.remove(call) ?: run {
            requests[vm.identity.vm to call]?.let(streams::end)
            return
        }
        deliver(vm, origin) { origin.inbox += SendEnded(send, SendOutcome.Answered(200), null) }
    }

    private fun refuse(vm: Vm, command: RefuseCall) {
        val relay = vm.relays.remove(command.call)
        if (relay == null) {
            val request = requests[vm.identity.vm to command.call] ?: return
            refusals[request] = command.reason
            streams.breakOff(request)
            retryAfterMs += command.retryAfterMs
            refusalAgesMs[request] = nowMs - arrivedMs.getValue(request)
            onRefused(request)
            return
        }
        val (origin, send) = relay
        val outcome = when {
            command.reason.runState == RunState.NOT_RUN ->
                SendOutcome.NotRun(NotRunReason.PEER_REFUSED, command.arrivals)
            command.reason == CallRefusal.SERVER_CRASHED ->
                SendOutcome.Broken(BreakReason.CRASHED_AT_PEER)
            else -> SendOutcome.Answered(502)
        }
        deliver(vm, origin) { origin.inbox += SendEnded(send, outcome, null) }
    }

    private fun checkHealth(vm: Vm, command: CheckHealth) {
        val engine = byEngine.getValue(command.server)
        val cut = engineCuts[vm.identity.vm]
        if (cut == EngineCut.SILENT || cut == EngineCut.REFUSED) {
            val failed = HealthChecked(
                server = command.server,
                isHealthy = false,
                coldForMs = null,
                load = null,
                isRefused = cut == EngineCut.REFUSED,
                askedMs = command.askedMs,
            )
            val delayMs = if (cut == EngineCut.SILENT) HEALTH_TIMEOUT_MS else LOCAL_DELAY_MS
            return schedule(nowMs + delayMs) { vm.inbox += failed }
        }
        val isUp = engine.isUp(nowMs)
        val coldForMs = if (isUp) engine.coldForMs(nowMs) else null
        val checked = HealthChecked(
            server = command.server,
            isHealthy = isUp,
            coldForMs = coldForMs,
            load = null,
            isRefused = !isUp,
            askedMs = command.askedMs,
            isLeaving = isUp && engine.isLeaving,
        )
        schedule(nowMs + LOCAL_DELAY_MS) { vm.inbox += checked }
    }

    private fun start(vm: Vm, start: StartSend) {
        val spec = checkNotNull(vm.gateway.world.calls[start.call]).spec
        when (val target = start.target) {
            is SendTarget.Peer -> {
                val peer = checkNotNull(byVm[target.vm])
                relays++
                val origin = CallOrigin.Peer(
                    vm.identity.vm,
                    target.catalogVersion,
                    target.service,
                    target.version,
                )
                val id = CallId(++nextCall)
                val request = requests[vm.identity.vm to start.call]
                val resumeAfter = spec.resumeAfter ?: request?.let(streams::lastEvent)
                deliver(vm, peer) {
                    peer.relays[id] = vm to start.send
                    val relayed = spec.copy(origin = origin, resumeAfter = resumeAfter)
                    peer.inbox += CallArrived(id, relayed)
                }
            }
            is SendTarget.Server -> {
                val engine = checkNotNull(byEngine[target.id])
                check(engine.region == vm.identity.region) { "engines serve their own region" }
                val cut = engineCuts[vm.identity.vm]
                val isCut = when (cut) {
                    null -> false
                    EngineCut.SILENT, EngineCut.REFUSED -> true
                    EngineCut.ONLY_NEW_REFUSED ->
                        engine.runs.keys.any { it.vm == vm.identity.vm } ||
                            vm.identity.vm to engine.id !in connections
                }
                if (cut == EngineCut.SILENT) {
                    val failed = SendNotWritten(start.send, NotWrittenReason.CONNECT_FAILED)
                    schedule(nowMs + start.connectTimeoutMs) { vm.inbox += failed }
                } else if (engine.isUp(nowMs) && !isCut) {
                    arrive(vm, start, engine, spec)
                } else {
                    val reason = NotWrittenReason.CONNECT_FAILED
                    vm.inbox += SendNotWritten(start.send, reason, isRefused = true)
                }
            }
        }
    }

    private fun arrive(vm: Vm, start: StartSend, engine: TestEngine, spec: CallSpec) {
        connections += vm.identity.vm to engine.id
        arrivalTimesMs.getOrPut(spec.requestId) { ArrayList() } += nowMs
        engine.arrivalTimesMs += nowMs
        if (engine.coldForMs(nowMs) > 0) engine.coldArrivalTimesMs += nowMs
        engine.leavingToldMs[vm.identity.vm]?.let { toldMs ->
            val lateMs = arrivedMs.getValue(spec.requestId) - toldMs
            engine.arrivalsAfterLeaving += ArrivalAfterLeaving(vm.identity.vm, lateMs)
        }
        tellBrittle(vm, engine)
        val isFull = engine.runs.size >= engine.places
        if (!isFull && rejections.nextDouble() >= rejectedShare) {
            return run(vm, start, engine, checkNotNull(spec.prompt))
        }
        if (engine.reject(nowMs)) crash(engine)
        val notRun = SendOutcome.NotRun(NotRunReason.FULL)
        val ended = SendEnded(start.send, notRun, null, limitPerS = engine.limitPerS)
        schedule(nowMs + LOCAL_DELAY_MS) {
            tellLeaving(vm, engine, startedMs = nowMs - LOCAL_DELAY_MS)
            vm.inbox += ended
        }
    }

    /** Lets the answer of [engine] to a call that arrives now say that it is brittle, if it is. */
    private fun tellBrittle(vm: Vm, engine: TestEngine) {
        val rejectionsPerS = engine.brittlePerS ?: return
        val activity =
            ServerActivity(setOf(engine.id), brittle = mapOf(engine.id to rejectionsPerS))
        schedule(nowMs + LOCAL_DELAY_MS) { vm.inbox += activity }
    }

    /** Lets an answer of [engine] to a call from [startedMs] on say that it leaves, if it does. */
    private fun tellLeaving(vm: Vm, engine: TestEngine, startedMs: Long) {
        if (!engine.isLeaving) return
        engine.leavingToldMs.putIfAbsent(vm.identity.vm, nowMs)
        vm.inbox += LeavingAnnounced(engine.id, nowMs - startedMs)
    }

    private fun run(vm: Vm, start: StartSend, engine: TestEngine, prompt: Prompt) {
        val isDeadly = prompt.parts.any { it.id == deadlyPart }
        if (isDeadly) deadlyArrivalsMs += nowMs
        val key = TestSend(vm.identity.vm, start.send)
        val run = TestRun(key, nowMs)
        engine.runs[key] = run
        val readMs = engine.read(prompt, nowMs)
        schedule(readMs) {
            if (engine.runs[key] !== run) return@schedule
            run.beganAtMs = nowMs
            if (isDeadly) {
                if (crashPoint == CrashPoint.AFTER_FIRST_EVENT) {
                    sendFirstEvent(vm, start, run, engine)
                }
                schedule(nowMs + CRASH_DELAY_MS) { if (engine.runs[key] === run) crash(engine) }
                return@schedule
            }
            tellLeaving(vm, engine, run.startedMs)
            sendFirstEvent(vm, start, run, engine)
            schedule(nowMs + answerMs) {
                if (engine.runs.remove(key, run)) {
                    vm.inbox += SendEnded(start.send, SendOutcome.Answered(200), null)
                }
            }
        }
    }

    private fun sendFirstEvent(vm: Vm, start: StartSend, run: TestRun, engine: TestEngine) {
        run.firstEventAtMs = nowMs
        val answer = AnswerStarted(start.send, null, engine.limitPerS)
        reportAnswerStarted(vm, start, answer, engine.version)
    }

    fun upEngines() = engines.filter { it.isUp(nowMs) }

    /** Ends [engine] with all its calls. It starts again under its id after [downMs]. */
    fun crash(engine: TestEngine, downMs: Long = RESTART_MS) {
        crashesMs += nowMs
        val lost = engine.runs.values.toList()
        engine.crash(nowMs, downMs)
        for (run in lost) byVm.getValue(run.key.vm).inbox += lostSend(run)
        for (vm in vms) {
            val isLost = connections.remove(vm.identity.vm to engine.id)
            if (isLost && keepsConnections) vm.inbox += IdleConnectionLost(engine.id)
        }
        schedule(engine.upAtMs) {
            engine.starts++
            engine.nextVersion?.let { engine.version = it }
            schedule(nowMs + storeDelayMs) { publishView() }
        }
    }

    private fun lostSend(run: TestRun): SendEnded {
        val hasHead = crashPoint != CrashPoint.WITHIN_HEAD || run.firstEventAtMs != null
        return SendEnded(
            send = run.key.send,
            outcome = SendOutcome.Broken(BreakReason.CONNECTION_LOST),
            load = null,
            events = if (run.firstEventAtMs != null) 1 else 0,
            headMs = run.beganAtMs?.takeIf { hasHead }?.let { it - run.startedMs },
            hasBegun = run.beganAtMs != null,
            contentAgeMs = run.firstEventAtMs?.let { nowMs - it },
        )
    }

    /** Passes the first event of an engine of [version] on, through the VM that relayed the call. */
    private fun reportAnswerStarted(
        vm: Vm,
        start: StartSend,
        answer: AnswerStarted,
        version: SoftwareVersion?,
    ) {
        vm.inbox += answer
        val call = vm.gateway.world.calls[start.call] ?: return
        val relay = vm.relays[start.call]
        if (relay == null) {
            firstEventsMs += nowMs - arrivedMs.getValue(call.spec.requestId)
            requests[vm.identity.vm to start.call]?.let { streams.addEvent(it, version) }
            return
        }
        val (origin, send) = relay
        val toldVersion = (start.target as? SendTarget.Server)?.version
        deliver(vm, origin) {
            // The process that relayed the call may have started anew.
            val relayedCall = callOf(origin, send) ?: return@deliver
            val relayed = start.copy(send = send, call = relayedCall)
            val passedOn = AnswerStarted(send, null, peerVersion = toldVersion)
            reportAnswerStarted(origin, relayed, passedOn, version)
        }
    }

    private fun callOf(vm: Vm, send: SendId) = vm.gateway.world.sends[send]?.call

    private fun deliver(from: Vm, to: Vm, run: () -> Unit) {
        val a = from.identity.region
        val b = to.identity.region
        if (a != b && (a in isolatedRegions || b in isolatedRegions)) return
        if (from.identity.vm in isolatedVms || to.identity.vm in isolatedVms) return
        schedule(nowMs + if (a == b) LOCAL_DELAY_MS else REMOTE_DELAY_MS, run)
    }

    private fun schedule(timeMs: Long, run: () -> Unit) {
        scheduled += Action(timeMs, nextOrder++, run)
    }
}
