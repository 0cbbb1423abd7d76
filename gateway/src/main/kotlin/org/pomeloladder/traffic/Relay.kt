/*
 * How entry VMs hand calls to each other: the caller's own request with an envelope in one head field, answered with the
 * server's answer or a refusal in one head field.
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
import org.pomeloladder.configuration.VmId

/** Says that a request was relayed, by whom and on which terms. */
@Serializable
data class RelayEnvelope(
    @SerialName("a") val from: VmId,
    @SerialName("b") val catalogVersion: Long,
    @SerialName("c") val remainingMs: Long,
    @SerialName("d") val resumeAfter: Long? = null,
)

/** Reads and writes the head fields of relayed calls. */
internal object Relay {
    private const val ENVELOPE = "relay-envelope"
    private const val REFUSED = "relay-refused"
    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun write(headers: HttpHeaders, envelope: RelayEnvelope) {
        val bytes = cbor.encodeToByteArray(RelayEnvelope.serializer(), envelope)
        headers.set(ENVELOPE, Base64.getUrlEncoder().withoutPadding().encodeToString(bytes))
    }

    /** Takes the envelope out of [headers]; null when there is none or it cannot be read. */
    fun take(headers: HttpHeaders): RelayEnvelope? {
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

    /** Marks an answer as the refusal of a peer that sent the call to no server. */
    fun refuse(headers: HttpHeaders) {
        headers.set(REFUSED, "1")
    }

    fun isRefused(headers: HttpHeaders): Boolean = headers.contains(REFUSED)
}
