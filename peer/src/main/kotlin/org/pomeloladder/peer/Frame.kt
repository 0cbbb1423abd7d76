/*
 * Frames exchanged between entry VMs. Control frames and traffic frames use separate connections,
 * so that a long response cannot delay a heartbeat.
 */
package org.pomeloladder.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.AttemptId
import org.pomeloladder.decisions.AttemptOutcome
import org.pomeloladder.decisions.ControlMessage
import org.pomeloladder.decisions.Incarnation
import org.pomeloladder.decisions.Refusal
import org.pomeloladder.decisions.RequestSpec

/** The kind of frames that a connection carries; fixed for the lifetime of the connection. */
@Serializable
enum class ChannelKind { CONTROL, TRAFFIC }

/** A message that is sent as one length-prefixed CBOR item. */
@Serializable
sealed interface Frame

/** The first frame that each side sends. */
@Serializable
@SerialName("hello")
internal class Hello(
    val vm: VmId,
    val incarnation: Incarnation,
    val kind: ChannelKind,
    @OptIn(ExperimentalSerializationApi::class) @ByteString val nonce: ByteArray,
) : Frame

/** The HMAC over both hellos, which proves knowledge of the shared key. */
@Serializable
@SerialName("proof")
internal class Proof(@OptIn(ExperimentalSerializationApi::class) @ByteString val mac: ByteArray) :
    Frame

/** Carries a control message. */
@Serializable
@SerialName("control")
internal class ControlFrame(val message: ControlMessage) : Frame

/** A frame on a traffic connection. Each frame belongs to one attempt. */
@Serializable
sealed interface TrafficFrame : Frame {
    val attempt: AttemptId
}

/**
 * Forwards an attempt to another entry VM. [payload] is the body of the caller's request.
 * [deliveredText] is the text that the caller has already received; it is empty unless the attempt
 * resumes a stream.
 */
@Serializable
@SerialName("forward")
class ForwardFrame(
    override val attempt: AttemptId,
    val spec: RequestSpec,
    val wanted: BackendServerId?,
    val fromToken: Int,
    @OptIn(ExperimentalSerializationApi::class) @ByteString val payload: ByteArray,
    val deliveredText: String,
) : TrafficFrame

/** Carries one part of the response. */
@Serializable
@SerialName("part")
class PartFrame(override val attempt: AttemptId, val part: ResponsePart) : TrafficFrame

/** Reports the outcome of an attempt that was dispatched. */
@Serializable
@SerialName("end")
class EndFrame(override val attempt: AttemptId, val outcome: AttemptOutcome) : TrafficFrame

/** Reports that the attempt was not dispatched. */
@Serializable
@SerialName("refused")
class RefusedFrame(override val attempt: AttemptId, val refusal: Refusal) : TrafficFrame

/** Cancels an attempt; sent by the ingress. */
@Serializable
@SerialName("cancel")
class CancelFrame(override val attempt: AttemptId) : TrafficFrame

/** One part of a response that is passed on to the caller. */
@Serializable
sealed interface ResponsePart {
    /** One generated token. [offset] is its index in the whole response, also after a resume. */
    @Serializable
    @SerialName("token")
    data class Token(val offset: Int, val text: String) : ResponsePart

    /** The end of a generated response. */
    @Serializable
    @SerialName("finish")
    data class Finish(
        val reason: String,
        val promptTokens: Int,
        val cachedTokens: Int,
        val outputTokens: Int,
    ) : ResponsePart

    /** The complete response of a plain service. */
    @Serializable
    @SerialName("body")
    class Body(
        val status: Int,
        val contentType: String,
        @OptIn(ExperimentalSerializationApi::class) @ByteString val bytes: ByteArray,
    ) : ResponsePart
}
