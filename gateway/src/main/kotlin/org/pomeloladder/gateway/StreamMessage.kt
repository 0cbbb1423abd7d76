/*
 * The datagram by which entry VMs tell and ask each other which version began a stream. It is apart
 * from the membership datagram, since it is sent at once and to few VMs. A lost one is not sent again.
 */
package org.pomeloladder.gateway

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.RequestId

/** The stream of [request] began at [version] of [service], or at an unknown one if that is null. */
@Serializable
data class StreamOrigin(
    @SerialName("a") val request: RequestId,
    @SerialName("b") val service: ServiceId,
    @SerialName("c") val version: SoftwareVersion?,
)

/** Asks which version of [service] began the stream of [request]. */
@Serializable
data class OriginQuery(
    @SerialName("a") val request: RequestId,
    @SerialName("b") val service: ServiceId,
)

/**
 * Answers a query. [isKnown] tells whether the sender knows the stream; [version] is then the one
 * that began it, if that is known. Otherwise [version] is the only one in service for longer than a
 * stream lasts, if the sender can tell, and [isMixed] whether it saw several.
 */
@Serializable
data class OriginAnswer(
    @SerialName("a") val request: RequestId,
    @SerialName("b") val isKnown: Boolean,
    @SerialName("c") val version: SoftwareVersion?,
    @SerialName("d") val isMixed: Boolean = false,
)

/** [version] of [service], null for one that can't be read, was in service [ageMs] ago. */
@Serializable
data class SeenVersion(
    @SerialName("a") val service: ServiceId,
    @SerialName("b") val version: SoftwareVersion?,
    @SerialName("c") val ageMs: Long,
)

/**
 * The sender has followed the platform for [durationMs] up to [position] without a gap, and saw
 * [versions] in the last part of that time.
 */
@Serializable
data class WatchReport(
    @SerialName("a") val durationMs: Long,
    @SerialName("b") val position: PlatformPosition,
    @SerialName("c") val versions: List<SeenVersion>,
)

/**
 * What [from] tells and asks about streams. [isWatchAsked] asks for a [watch], by which a process that
 * has just started learns which versions were in service before. [isForwarded] tells whether the VM of the region that got
 * the origins first has passed them on.
 */
@Serializable
data class StreamMessage(
    @SerialName("a") val from: VmId,
    @SerialName("b") val region: RegionId,
    @SerialName("c") val origins: List<StreamOrigin> = emptyList(),
    @SerialName("d") val queries: List<OriginQuery> = emptyList(),
    @SerialName("e") val answers: List<OriginAnswer> = emptyList(),
    @SerialName("f") val isForwarded: Boolean = false,
    @SerialName("g") val isWatchAsked: Boolean = false,
    @SerialName("h") val watch: WatchReport? = null,
)
