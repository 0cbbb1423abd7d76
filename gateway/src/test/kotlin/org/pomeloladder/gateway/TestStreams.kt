package org.pomeloladder.gateway

import org.pomeloladder.decisions.RequestId

/** What the callers of a [TestFleet] hold of their streams, over all their requests for one. */
internal class TestStreams {
    /** A stream: the versions whose events the caller has, and how it stands. */
    class Stream(val first: RequestId) {
        val versions = LinkedHashSet<SoftwareVersion?>()
        var events = 0
        var isEnded = false
    }

    private val byRequest = HashMap<RequestId, Stream>()

    /** Requests whose streams broke off, in their order, and take-ups that brought an event. */
    val brokenOff = LinkedHashSet<RequestId>()
    val continued = LinkedHashSet<RequestId>()
    private val takeUps = HashSet<RequestId>()

    fun add(request: RequestId, resumes: RequestId?) {
        byRequest[request] = resumes?.let { byRequest.getValue(it) } ?: Stream(request)
        if (resumes != null) takeUps += request
    }

    /** Returns the last event that the caller of [request] has, or null before the first one. */
    fun lastEvent(request: RequestId): Long? =
        byRequest[request]?.events?.takeIf { it > 0 }?.toLong()

    fun addEvent(request: RequestId, version: SoftwareVersion?) {
        val stream = byRequest.getValue(request)
        stream.versions += version
        stream.events++
        if (request in takeUps) continued += request
    }

    fun end(request: RequestId) {
        byRequest.getValue(request).isEnded = true
    }

    fun breakOff(request: RequestId) {
        val stream = byRequest.getValue(request)
        if (!stream.isEnded && stream.events > 0) brokenOff += request
    }

    /** The request that brought the first event of the stream of [request]. */
    fun origin(request: RequestId): RequestId = byRequest.getValue(request).first

    /** Streams with events of several versions. */
    fun joined(): List<Stream> = byRequest.values.distinct().filter { it.versions.size > 1 }
}
