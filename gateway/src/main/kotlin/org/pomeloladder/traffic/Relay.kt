/*
 * Protocol for relaying calls between entry VMs. A relayed request is the caller's request plus an
 * envelope header. The response is that of the backend server, or a refusal marked by a header.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package org.pomeloladder.traffic

import io.netty.handler.codec.http.HttpHeaders
import java.util.Base64
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.gateway.SoftwareVersion

/**
 * Origin, catalog version, remaining time and service of a relayed request. A stream that has begun may
 * go on at servers of [version] only.
 */
@Serializable
data class RelayEnvelope(
    @SerialName("a") val from: VmId,
    @SerialName("b") val catalogVersion: Long,
    @SerialName("c") val remainingMs: Long,
    @SerialName("d") val resumeAfter: Long? = null,
    @SerialName("e") val service: ServiceId? = null,
    @SerialName("f") val version: SoftwareVersion? = null,
)

/** Reads and writes the headers of relayed calls. */
internal object Relay {
    private const val ENVELOPE = "relay-envelope"
    private const val REFUSED = "relay-refused"
    private const val ARRIVALS = "relay-arrivals"
    private const val CRASHED = "relay-crashed"
    private const val VERSION = "relay-version"

    /** More than a peer makes for one call. */
    private const val MAX_ARRIVALS = 1_000
    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun writeEnvelope(headers: HttpHeaders, envelope: RelayEnvelope) {
        val bytes = cbor.encodeToByteArray(RelayEnvelope.serializer(), envelope)
        headers.set(ENVELOPE, Base64.getUrlEncoder().withoutPadding().encodeToString(bytes))
    }

    /** Removes the envelope from [headers]. Returns null if it is missing or malformed. */
    fun removeEnvelope(headers: HttpHeaders): RelayEnvelope? {
        val text = headers.get(ENVELOPE) ?: return null
        headers.remove(ENVELOPE)
        return try {
            cbor.decodeFromByteArray(
                RelayEnvelope.serializer(),
                Base64.getUrlDecoder().decode(text),
            )
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }
    }

    /** Marks a response as the refusal of a call that [arrivals] servers received and none ran. */
    fun markRefused(headers: HttpHeaders, arrivals: Int) {
        headers.set(REFUSED, "1")
        headers.set(ARRIVALS, arrivals)
    }

    fun isRefused(headers: HttpHeaders): Boolean = headers.contains(REFUSED)

    /**
     * Returns the number of servers that received a refused call. A peer of an earlier version does
     * not tell it, and may have sent the call to one.
     */
    fun arrivals(headers: HttpHeaders): Int =
        headers.getInt(ARRIVALS)?.coerceIn(0, MAX_ARRIVALS) ?: 1

    /** Names the version of the server that a stream comes from, or removes the header. */
    fun writeVersion(headers: HttpHeaders, version: SoftwareVersion?) {
        if (version == null) headers.remove(VERSION) else headers.set(VERSION, version.value)
    }

    /** Returns the version of the server that a stream of a peer comes from, if the peer knows it. */
    fun version(headers: HttpHeaders): SoftwareVersion? =
        headers.get(VERSION)?.let(::SoftwareVersion)

    /** Marks a response as the failure of a call whose server crashed as it began to answer. */
    fun markCrashed(headers: HttpHeaders) {
        headers.set(CRASHED, "1")
    }

    fun isCrashed(headers: HttpHeaders): Boolean = headers.contains(CRASHED)
}
