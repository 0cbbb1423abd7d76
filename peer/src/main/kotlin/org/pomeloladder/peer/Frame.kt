/*
 * Frames between entry VMs. Control frames and traffic frames use separate connections, so that a long answer cannot
 * delay a heartbeat.
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

/** What a connection carries; fixed for its lifetime. */
@Serializable
enum class ChannelKind { CONTROL, TRAFFIC }

/** Anything that is sent as one length-prefixed CBOR item. */
@Serializable
sealed interface Frame

/** First frame of both sides. */
@Serializable
@SerialName("hello")
internal class Hello(
    val vm: VmId,
    val incarnation: Incarnation,
    val kind: ChannelKind,
    @OptIn(ExperimentalSerializationApi::class) @ByteString val nonce: ByteArray,
) : Frame

/** Proves the shared key over both hellos. */
@Serializable
@SerialName("proof")
internal class Proof(@OptIn(ExperimentalSerializationApi::class) @ByteString val mac: ByteArray) :
    Frame

/** A control message. */
@Serializable
@SerialName("control")
internal class ControlFrame(val message: ControlMessage) : Frame

/** A frame on a traffic connection; each names the attempt that it belongs to. */
@Serializable
sealed interface TrafficFrame : Frame {
    val attempt: AttemptId
}

/** Hands an attempt to another entry VM. [payload] is the caller's body; [deliveredText] is set for a resumed stream. */
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

/** A part of the answer. */
@Serializable
@SerialName("part")
class PartFrame(override val attempt: AttemptId, val part: AnswerPart) : TrafficFrame

/** The attempt ended after it was dispatched. */
@Serializable
@SerialName("end")
class EndFrame(override val attempt: AttemptId, val outcome: AttemptOutcome) : TrafficFrame

/** The attempt was not dispatched. */
@Serializable
@SerialName("refused")
class RefusedFrame(override val attempt: AttemptId, val refusal: Refusal) : TrafficFrame

/** The ingress no longer wants the attempt. */
@Serializable
@SerialName("cancel")
class CancelFrame(override val attempt: AttemptId) : TrafficFrame

/** A part of an answer on its way to the caller. */
@Serializable
sealed interface AnswerPart {
    /** One generated token. [offset] counts from the first token of the whole answer. */
    @Serializable
    @SerialName("token")
    data class Token(val offset: Int, val text: String) : AnswerPart

    /** The end of a generated answer. */
    @Serializable
    @SerialName("finish")
    data class Finish(
        val reason: String,
        val promptTokens: Int,
        val cachedTokens: Int,
        val outputTokens: Int,
    ) : AnswerPart

    /** The whole answer of a plain service. */
    @Serializable
    @SerialName("body")
    class Body(
        val status: Int,
        val contentType: String,
        @OptIn(ExperimentalSerializationApi::class) @ByteString val bytes: ByteArray,
    ) : AnswerPart
}
