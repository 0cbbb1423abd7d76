/*
 * What this process knows of the versions that began streams, and of the versions in service. A
 * caller whose stream broke off may take it up at any VM, which can't tell from the request which
 * version began it. Entries are kept for as long as a caller may come back; what is dropped counts
 * as unknown and is never guessed.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.RequestId

/** Maximum number of streams whose origins are kept. */
private const val MAX_ORIGINS = 20_000

/** A caller is back within this multiple of the longest time limit of a stream. */
private const val LIFE_FACTOR = 2

/** Life of a stream before the first catalog. */
private const val DEFAULT_LIFE_MS = 30_000L

/** The version that began a stream, and whether other VMs have been told of it. */
class KnownOrigin(val origin: StreamOrigin, val knownMs: Long) {
    var isTold = false
}

/** A take-up that waits for what other VMs know of its stream. */
class OriginLookup(val call: CallId, val request: RequestId, val untilMs: Long) {
    /** VMs that have not answered yet, and their regions. */
    val asked = HashMap<VmId, RegionId>()
    val answers = ArrayList<OriginAnswer>()
    val answeredRegions = HashSet<RegionId>()
}

/** The tables of streams and versions of one process. */
class StreamOrigins {
    private val origins = LinkedHashMap<RequestId, KnownOrigin>()
    private val added = ArrayList<KnownOrigin>()
    private val versionsSeenMs = HashMap<ServiceId, HashMap<SoftwareVersion?, Long>>()

    /**
     * Time since which the platform has been followed without a gap, by this process or by those that
     * told it of the time before its start, or null.
     */
    var watchingSinceMs: Long? = null
        private set

    /** Position at which this process itself began to follow the platform. */
    private var watchedFrom: PlatformPosition? = null

    fun startWatch(position: PlatformPosition, nowMs: Long) {
        if (watchingSinceMs != null) return
        watchingSinceMs = nowMs
        watchedFrom = position
    }

    fun endWatch() {
        watchingSinceMs = null
        watchedFrom = null
    }

    /** Returns what this process can tell others of the versions in service, or null if nothing. */
    fun watchReport(world: GatewayWorld, nowMs: Long): WatchReport? {
        val sinceMs = watchingSinceMs ?: return null
        val position = world.process.view?.position ?: return null
        val versions = versionsSeenMs.flatMap { (service, seen) ->
            seen.map { (version, seenMs) -> SeenVersion(service, version, nowMs - seenMs) }
        }
        return WatchReport(
            nowMs - sinceMs,
            position,
            versions.filter {
                it.ageMs <
                    streamLifeMs(world)
            },
        )
    }

    /** Takes over what another process saw until this one began to follow the platform itself. */
    fun merge(report: WatchReport, nowMs: Long) {
        for (seen in report.versions) {
            val versions = versionsSeenMs.getOrPut(seen.service) { HashMap() }
            val seenMs = nowMs - seen.ageMs.coerceAtLeast(0)
            versions[seen.version] = maxOf(versions[seen.version] ?: seenMs, seenMs)
        }
        val ownMs = watchingSinceMs ?: return
        val from = watchedFrom ?: return
        // Otherwise there is a gap between what the other process saw and this one.
        if (report.position >= from) watchingSinceMs = minOf(ownMs, nowMs - report.durationMs)
    }

    val lookups = LinkedHashMap<CallId, OriginLookup>()

    /** Sends whose first event came while their servers were in doubt, so that its version is open. */
    val unprovenSends = ArrayList<Send>()

    val size: Int
        get() = origins.size

    /** Returns the version that began the stream of [request], or null if it is not known. */
    fun versionOf(request: RequestId): SoftwareVersion? = origins[request]?.origin?.version

    /** Whether anything is known of the stream of [request], be it that its version is unknown. */
    fun knows(request: RequestId): Boolean = request in origins

    /** Adds or renews the origin of a stream that this process has sent to a server. */
    fun addOwn(origin: StreamOrigin, nowMs: Long) {
        added += put(origin, nowMs)
    }

    /** Returns the origins that were added since the last call. */
    fun takeAdded(): List<KnownOrigin> = added.toList().also { added.clear() }

    /** Adds or renews [origin]. */
    fun put(origin: StreamOrigin, nowMs: Long): KnownOrigin {
        origins.remove(origin.request)
        if (origins.size >= MAX_ORIGINS) origins.remove(origins.keys.first())
        return KnownOrigin(origin, nowMs).also { origins[origin.request] = it }
    }

    /** Drops the streams that no caller can take up any more. */
    fun dropOlderThan(timeMs: Long) {
        val oldest = origins.values.iterator()
        while (oldest.hasNext() && oldest.next().knownMs < timeMs) oldest.remove()
    }

    /** Returns the streams of [service] of which no other VM has been told. */
    fun untold(service: ServiceId): List<KnownOrigin> =
        origins.values.filter { !it.isTold && it.origin.service == service }

    /** Records that servers of [version] are in [service] at [nowMs]. */
    fun sawVersion(service: ServiceId, version: SoftwareVersion?, nowMs: Long) {
        versionsSeenMs.getOrPut(service) { HashMap() }[version] = nowMs
    }

    /** The versions in [service] since [timeMs], null for one that is not known. */
    private fun versionsSince(service: ServiceId, timeMs: Long): Set<SoftwareVersion?> =
        versionsSeenMs[service].orEmpty().filterValues { it >= timeMs }.keys

    /** Whether streams of several versions may be taken up in [service]. */
    fun isMixed(world: GatewayWorld, service: ServiceId, nowMs: Long): Boolean =
        versionsSince(service, nowMs - streamLifeMs(world)).size > 1

    /**
     * Returns the version that began every stream of [service] that may still be taken up, or null
     * if this process can't tell: it has not followed the platform for long enough, or has seen
     * several versions.
     */
    fun soleVersion(world: GatewayWorld, service: ServiceId, nowMs: Long): SoftwareVersion? {
        val sinceMs = nowMs - streamLifeMs(world)
        val watchingMs = watchingSinceMs ?: return null
        if (watchingMs > sinceMs || !world.process.isPlatformReachable) return null
        return versionsSince(service, sinceMs).singleOrNull()
    }
}

/** Longest time from the first event of a stream to its last take-up. */
internal fun streamLifeMs(world: GatewayWorld): Long = world.catalog?.routes.orEmpty()
    .filter { it.isResumableStream }
    .maxOfOrNull { it.timeoutMs * LIFE_FACTOR } ?: DEFAULT_LIFE_MS
