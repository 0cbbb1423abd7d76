/*
 * Which backend servers may continue a stream. What two versions of a server's software write does not
 * fit together, so a stream goes on only at the version that began it. This is a constraint, not a
 * cost: without a server of that version the stream is not continued at all.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.RegionId

/** What the events that a caller already has say about the servers that may send it more. */
sealed interface StreamBinding {
    /** The caller has no event yet, so that any version may serve it. */
    data object Free : StreamBinding

    /** The events came from servers of [version]. */
    data class Bound(val version: SoftwareVersion) : StreamBinding

    /** The events came from a version that is not known, so that no server may continue them. */
    data object Unknown : StreamBinding

    companion object {
        /** The binding of a stream with events of [version], which is null if it is not known. */
        fun of(version: SoftwareVersion?): StreamBinding =
            if (version == null) Unknown else Bound(version)
    }
}

/** The only version that may serve the call, or null if there is no such constraint. */
internal val Call.requiredVersion: SoftwareVersion?
    get() = (binding as? StreamBinding.Bound)?.version

/** Whether [backend], of any region, may serve [call], whatever its state. */
internal fun mayServe(call: Call, backend: Backend): Boolean =
    backend.record.service == call.service &&
        backend.id !in call.avoidedServers &&
        when (val binding = call.binding) {
            StreamBinding.Free -> true
            is StreamBinding.Bound -> isOfVersion(backend, binding.version)
            StreamBinding.Unknown -> false
        }

/** Whether [backend] runs [version] for sure. In doubt it may have started again with another one. */
private fun isOfVersion(backend: Backend, version: SoftwareVersion) =
    backend.life.version == version && backend.doubt == null

/**
 * Whether [region] has a server that may serve [call]. The servers of this region are judged by their
 * entries, since a VM that relays within it does not reach them; the receiver decides.
 */
internal fun hasServerFor(world: GatewayWorld, call: Call, region: RegionId): Boolean =
    call.binding == StreamBinding.Free ||
        world.backends.any { backend ->
            world.regionOf(backend.record.domain) == region &&
                if (region == world.self.region) {
                    backend.record.service == call.service &&
                        backend.record.version == call.requiredVersion
                } else {
                    mayServe(call, backend)
                }
        }

/**
 * Returns the version of the server that sent the first event of [send], or null if it is not known
 * for sure: the server may have started again since the send, with another version.
 */
internal fun versionOf(world: GatewayWorld, send: Send, nowMs: Long): SoftwareVersion? {
    val backend = world.serverOf(send) ?: return null
    val sinceMs = backend.doubt?.sinceMs
    // A doubt of this tick arose after the event.
    val isCertain = backend.life === send.life && (sinceMs == null || sinceMs >= nowMs)
    return if (isCertain) backend.life.version else null
}
