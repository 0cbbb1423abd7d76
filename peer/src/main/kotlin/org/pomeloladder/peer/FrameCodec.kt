/*
 * Frame encoding: CBOR with a four-byte length prefix.
 */
package org.pomeloladder.peer

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.io.IOException
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.pomeloladder.decisions.ControlMessage

/** Maximum frame size: a configuration value of 1 MB plus the fields that surround it. */
const val MAX_FRAME_BYTES = 2 * 1024 * 1024

/** Encodes and decodes [Frame]s. */
@OptIn(ExperimentalSerializationApi::class)
object FrameCodec {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun encode(frame: Frame): ByteArray = cbor.encodeToByteArray(frame)

    /** Encodes [message] as a control frame, without the length prefix. */
    fun encode(message: ControlMessage): ByteArray = encode(ControlFrame(message))

    /** @throws IOException if [bytes] is not a valid frame. */
    fun decode(bytes: ByteArray): Frame = try {
        cbor.decodeFromByteArray(bytes)
    } catch (e: SerializationException) {
        throw IOException("peer frame of ${bytes.size} bytes is not valid CBOR", e)
    }
}

internal suspend fun ByteWriteChannel.writeFrame(bytes: ByteArray) {
    writeInt(bytes.size)
    writeByteArray(bytes)
    flush()
}

internal suspend fun ByteReadChannel.readFrame(): ByteArray {
    val length = readInt()
    if (length !in 1..MAX_FRAME_BYTES) {
        throw IOException("peer frame has $length bytes, the maximum is $MAX_FRAME_BYTES")
    }
    return readByteArray(length)
}
