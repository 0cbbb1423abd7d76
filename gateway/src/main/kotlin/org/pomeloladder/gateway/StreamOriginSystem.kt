/*
 * Remembers which version began each stream, at several VMs of each region, so that a caller can take
 * its stream up at any VM although the one that served it is gone. While a single version is in
 * service, nothing is told, since whoever has followed the service for longer than a stream lasts
 * knows the version of all streams. Without any knowledge a take-up is rejected at once.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.LogEvent
import org.pomeloladder.decisions.RequestId
import org.pomeloladder.decisions.hashKey
import org.pomeloladder.decisions.rendezvousOrder

/** VMs of one region that keep the origin of a stream, beside the one that sent it to a server. */
private const val HOLDERS_PER_REGION = 3

/** VMs of another region that are told or asked; each passes origins on to the holders there. */
private const val CONTACTS_PER_REGION = 2

/** A round trip between regions, and some delay at both ends. */
private const val LOOKUP_TIMEOUT_MS = 250L

/** Interval between two updates of the versions in service. */
private const val SCAN_INTERVAL_MS = 250L

/** Maximum number of entries in one datagram, so that it fits into one packet. */
private const val MAX_ENTRIES = 12

/** Tells and asks other VMs about the versions of streams, and lets calls wait for the answers. */
class StreamOriginSystem(private val placer: CallPlacer) : GatewaySystem {
    private var lastScanMs = NEVER_MS

    /** Regions in which another VM has ever been heard of. */
    private val regionsOfOthers = HashSet<RegionId>()
    private var scannedViewVersion = -1L

    /** Services of which this process knew the only version when it last looked. */
    private val servicesWithSole = HashSet<ServiceId>()

    override fun run(world: GatewayWorld, tick: GatewayTick) {
        updateWatch(world, tick)
        tick.each<StreamMessageReceived> { receive(world, tick, it) }
        bindProven(world, tick)
        tellOrigins(world, tick)
        resolveLookups(world, tick)
    }

    private fun updateWatch(world: GatewayWorld, tick: GatewayTick) {
        val streams = world.streams
        if (!world.process.isPlatformReachable) streams.endWatch()
        val isViewNew = world.process.viewVersion != scannedViewVersion
        if (!isViewNew && tick.nowMs - lastScanMs < SCAN_INTERVAL_MS) return
        scannedViewVersion = world.process.viewVersion
        lastScanMs = tick.nowMs
        world.peers.forEach { regionsOfOthers += it.identity.region }
        val view = world.process.view ?: return
        if (world.process.isPlatformReachable) streams.startWatch(view.position, tick.nowMs)
        world.backends.forEach {
            streams.sawVersion(it.record.service, it.record.version, tick.nowMs)
        }
        val lifeMs = streamLifeMs(world)
        streams.dropOlderThan(tick.nowMs - lifeMs)
        val watchingMs = streams.watchingSinceMs?.let { tick.nowMs - it } ?: return
        if (watchingMs < lifeMs && !isViewNew) askForWatch(world, tick)
    }

    /** Asks others what they saw before this process began to follow the platform. */
    private fun askForWatch(world: GatewayWorld, tick: GatewayTick) {
        val message = StreamMessage(world.self.vm, world.self.region, isWatchAsked = true)
        for (peer in holders(world, RequestId(world.self.vm.value), setOf(world.self.region))) {
            tick.emit(SendStreamMessage(peer.identity.gossip, message))
        }
    }

    /** Binds the streams whose servers have been shown to live the life that began them. */
    private fun bindProven(world: GatewayWorld, tick: GatewayTick) {
        world.streams.unprovenSends.removeIf { send ->
            val call = world.calls[send.call]
            val version = versionOf(world, send, tick.nowMs)
            if (call != null && version != null) {
                call.binding = StreamBinding.Bound(version)
                val request = call.spec.resumedRequest ?: call.spec.requestId
                world.streams.addOwn(StreamOrigin(request, call.service, version), tick.nowMs)
            }
            call == null || version != null || !mayBeProven(world, send)
        }
    }

    /** Whether the server of [send] may still turn out to live the same life. */
    private fun mayBeProven(world: GatewayWorld, send: Send): Boolean =
        world.serverOf(send)?.let { it.life === send.life } == true

    private fun receive(world: GatewayWorld, tick: GatewayTick, event: StreamMessageReceived) {
        val message = event.message
        val news = message.origins.filter { addIfNew(world.streams, it, tick.nowMs) }
        if (message.region != world.self.region && !message.isForwarded) {
            tell(world, tick, news, setOf(world.self.region), isForwarded = true)
        }
        message.watch?.let { world.streams.merge(it, tick.nowMs) }
        message.answers.forEach { addAnswer(world.streams, message.from, it) }
        reply(world, tick, event)
    }

    /** Adds [origin] unless it only says that the version of a known stream is not known. */
    private fun addIfNew(streams: StreamOrigins, origin: StreamOrigin, nowMs: Long): Boolean {
        if (streams.knows(origin.request) && origin.version == null) return false
        streams.put(origin, nowMs).isTold = true
        return true
    }

    private fun addAnswer(streams: StreamOrigins, from: VmId, answer: OriginAnswer) {
        for (lookup in streams.lookups.values) {
            val region = lookup.asked[from]
            if (lookup.request == answer.request && region != null) {
                lookup.asked -= from
                lookup.answers += answer
                lookup.answeredRegions += region
            }
        }
    }

    private fun reply(world: GatewayWorld, tick: GatewayTick, event: StreamMessageReceived) {
        val answers = event.message.queries.map { answerTo(world, it, tick.nowMs) }
        val isWatchAsked = event.message.isWatchAsked
        val watch = if (isWatchAsked) world.streams.watchReport(world, tick.nowMs) else null
        if (answers.isEmpty() && watch == null) return
        val message =
            StreamMessage(world.self.vm, world.self.region, answers = answers, watch = watch)
        tick.emit(SendStreamMessage(event.from, message))
    }

    private fun answerTo(world: GatewayWorld, query: OriginQuery, nowMs: Long): OriginAnswer {
        val streams = world.streams
        val isKnown = streams.knows(query.request)
        return OriginAnswer(
            request = query.request,
            isKnown = isKnown,
            version = if (isKnown) {
                streams.versionOf(query.request)
            } else {
                streams.soleVersion(world, query.service, nowMs)
            },
            isMixed = streams.isMixed(world, query.service, nowMs),
        )
    }

    /**
     * Tells the origins of streams that others could not know: all of a service in which several
     * versions may be, and those of any other version than the only one.
     */
    private fun tellOrigins(world: GatewayWorld, tick: GatewayTick) {
        val streams = world.streams
        val added = streams.takeAdded()
        for (service in world.catalog?.services.orEmpty()) {
            val sole = streams.soleVersion(world, service.id, tick.nowMs)
            val hasLostSole = sole == null && service.id in servicesWithSole
            if (sole == null) servicesWithSole -= service.id else servicesWithSole += service.id
            val untold = if (hasLostSole) {
                streams.untold(service.id)
            } else {
                added.filter { it.origin.service == service.id }
            }
            val told = untold.filter { it.origin.version == null || it.origin.version != sole }
            told.forEach { it.isTold = true }
            val regions = world.regions.values.toSet()
            tell(world, tick, told.map { it.origin }, regions, isForwarded = false)
        }
    }

    /** Sends [origins] to the VMs of [regions] that keep them, in as few datagrams as possible. */
    private fun tell(
        world: GatewayWorld,
        tick: GatewayTick,
        origins: List<StreamOrigin>,
        regions: Set<RegionId>,
        isForwarded: Boolean,
    ) {
        origins.flatMap { origin -> holders(world, origin.request, regions).map { it to origin } }
            .groupBy({ it.first.identity.gossip }, { it.second })
            .forEach { (address, told) ->
                for (part in told.chunked(MAX_ENTRIES)) {
                    val message = StreamMessage(
                        from = world.self.vm,
                        region = world.self.region,
                        origins = part,
                        isForwarded = isForwarded,
                    )
                    tick.emit(SendStreamMessage(address, message))
                }
            }
    }

    private fun resolveLookups(world: GatewayWorld, tick: GatewayTick) {
        val lookups = world.streams.lookups
        if (lookups.isEmpty()) return
        for (lookup in lookups.values.toList()) {
            val call = world.calls[lookup.call]
            val binding = call?.let { bindingOf(world, it, lookup, tick.nowMs) }
            if (call != null && binding == null) {
                tick.wakeAt(lookup.untilMs)
                continue
            }
            lookups.remove(lookup.call)
            if (call == null || binding == null) continue
            call.binding = binding
            logTakenUp(tick, call, binding, lookup)
            placer.place(world, tick, call)
        }
    }

    /** Returns what is known of the stream of [lookup], or null while an answer may still tell. */
    private fun bindingOf(
        world: GatewayWorld,
        call: Call,
        lookup: OriginLookup,
        nowMs: Long,
    ): StreamBinding? {
        val known = lookup.answers.filter { it.isKnown }
        known.firstNotNullOfOrNull { it.version }?.let { return StreamBinding.Bound(it) }
        if (lookup.asked.isNotEmpty() && nowMs < lookup.untilMs) return null
        val isKnown = known.isNotEmpty() || world.streams.knows(lookup.request)
        val isMixed = world.streams.isMixed(world, call.service, nowMs) ||
            lookup.answers.any { it.isMixed }
        if (isKnown || isMixed || !isInStep(world, lookup)) return StreamBinding.Unknown
        val own = world.streams.soleVersion(world, call.service, nowMs)
        val soleVersions = (lookup.answers.map { it.version } + own).filterNotNull().toSet()
        return StreamBinding.of(soleVersions.singleOrNull())
    }

    /**
     * Whether more than half of the regions have answered [lookup]. A VM that is cut off, or has stood
     * still, can't know which versions have joined since, while a region that is lost must not keep
     * the others from going on.
     */
    private fun isInStep(world: GatewayWorld, lookup: OriginLookup): Boolean {
        val self = world.self.region
        val heard = if (self in regionsOfOthers) {
            lookup.answeredRegions
        } else {
            lookup.answeredRegions + self
        }
        return heard.size * 2 > (regionsOfOthers + self).size
    }
}

/** Whether the caller of [spec] has events of a stream and wants the rest. */
internal fun isTakeUp(spec: CallSpec): Boolean =
    spec.resumeAfter != null || spec.resumedRequest != null

/**
 * Binds [call], if it takes up a stream, to the version that began it. Returns false if other VMs
 * have to be asked first; [StreamOriginSystem] then places the call.
 */
internal fun bindTakeUp(world: GatewayWorld, tick: GatewayTick, call: Call): Boolean {
    if (!call.route.isResumableStream) return true
    val origin = call.spec.origin
    if (origin is CallOrigin.Peer) {
        if (origin.version != null || isTakeUp(call.spec)) {
            call.binding = StreamBinding.of(origin.version)
        }
        return true
    }
    if (!isTakeUp(call.spec)) return true
    // A caller that does not name its stream can only be served by what holds for all streams.
    val request = call.spec.resumedRequest ?: call.spec.requestId
    val version = world.streams.versionOf(request)
    if (version == null) {
        lookUp(world, tick, call, OriginQuery(request, call.service))
        return false
    }
    call.binding = StreamBinding.Bound(version)
    logTakenUp(tick, call, call.binding, lookup = null)
    return true
}

private fun lookUp(world: GatewayWorld, tick: GatewayTick, call: Call, query: OriginQuery) {
    val lookup = OriginLookup(call.id, query.request, tick.nowMs + LOOKUP_TIMEOUT_MS)
    val message = StreamMessage(world.self.vm, world.self.region, queries = listOf(query))
    for (peer in holders(world, query.request, world.regions.values.toSet())) {
        lookup.asked[peer.vm] = peer.identity.region
        tick.emit(SendStreamMessage(peer.identity.gossip, message))
    }
    world.streams.lookups[call.id] = lookup
    tick.wakeAt(lookup.untilMs)
}

/** Returns the VMs of [regions] that keep the origin of the stream of [request]. */
private fun holders(world: GatewayWorld, request: RequestId, regions: Set<RegionId>): List<Peer> {
    val key = hashKey(request.value)
    return world.peers.filter { it.isLive && it.identity.region in regions }
        .groupBy { it.identity.region }
        .flatMap { (region, peers) ->
            val isLocal = region == world.self.region
            val count = if (isLocal) HOLDERS_PER_REGION else CONTACTS_PER_REGION
            peers.rendezvousOrder(key) { it.vm.value }.take(count)
        }
}

private fun logTakenUp(
    tick: GatewayTick,
    call: Call,
    binding: StreamBinding,
    lookup: OriginLookup?,
) {
    val details = mapOf(
        "request" to call.spec.requestId,
        "resumes" to call.spec.resumedRequest,
        "after" to call.spec.resumeAfter,
        "binding" to binding,
        "answers" to lookup?.answers?.size,
        "unanswered" to lookup?.asked?.size,
        "waitedMs" to tick.nowMs - call.arrivedMs,
    )
    tick.journal.log(LogEvent.STREAM_TAKEN_UP, details)
}
