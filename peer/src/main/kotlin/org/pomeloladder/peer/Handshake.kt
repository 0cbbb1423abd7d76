/*
 * The handshake of a peer connection. Each side sends a nonce and proves that it knows the shared key by an HMAC over
 * both hellos, so that a recorded handshake is useless on another connection.
 */
package org.pomeloladder.peer

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import java.security.MessageDigest
import java.security.SecureRandom
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec
import kotlinx.io.IOException
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.Incarnation

private const val NONCE_BYTES = 16
private const val MAC_ALGORITHM = "HmacSHA256"

/** Who a process is towards its peers, and the key that all entry VMs of a deployment share. */
class PeerIdentity(val vm: VmId, val incarnation: Incarnation, internal val sharedKey: ByteArray)

/** A peer that proved the shared key. */
internal class ProvenPeer(val vm: VmId, val incarnation: Incarnation, val kind: ChannelKind)

internal class Handshake(private val self: PeerIdentity) {
    private val random = SecureRandom()

    /** Runs the side that opened the connection. */
    suspend fun dial(
        input: ByteReadChannel,
        output: ByteWriteChannel,
        kind: ChannelKind,
    ): ProvenPeer {
        val own = hello(kind)
        output.send(own)
        val theirs = input.receive<Hello>()
        verify(input.receive<Proof>(), ACCEPTOR, own, theirs)
        output.send(Proof(mac(DIALER, own, theirs)))
        return ProvenPeer(theirs.vm, theirs.incarnation, kind)
    }

    /** Runs the side that accepted the connection. */
    suspend fun accept(input: ByteReadChannel, output: ByteWriteChannel): ProvenPeer {
        val theirs = input.receive<Hello>()
        val own = hello(theirs.kind)
        output.send(own)
        output.send(Proof(mac(ACCEPTOR, theirs, own)))
        verify(input.receive<Proof>(), DIALER, theirs, own)
        return ProvenPeer(theirs.vm, theirs.incarnation, theirs.kind)
    }

    private fun hello(kind: ChannelKind): Hello {
        val nonce = ByteArray(NONCE_BYTES).also(random::nextBytes)
        return Hello(self.vm, self.incarnation, kind, nonce)
    }

    private fun verify(proof: Proof, role: String, dialer: Hello, acceptor: Hello) {
        if (!MessageDigest.isEqual(proof.mac, mac(role, dialer, acceptor))) {
            throw IOException("peer does not know the shared key")
        }
    }

    private fun mac(role: String, dialer: Hello, acceptor: Hello): ByteArray {
        val mac = Mac.getInstance(MAC_ALGORITHM)
        mac.init(SecretKeySpec(self.sharedKey, MAC_ALGORITHM))
        mac.update(role.toByteArray())
        mac.update(FrameCodec.encode(dialer))
        mac.update(FrameCodec.encode(acceptor))
        return mac.doFinal()
    }

    private companion object {
        const val DIALER = "dialer"
        const val ACCEPTOR = "acceptor"
    }
}

private suspend fun ByteWriteChannel.send(frame: Frame) = writeFrame(FrameCodec.encode(frame))

private suspend inline fun <reified F : Frame> ByteReadChannel.receive(): F {
    val frame = FrameCodec.decode(readFrame())
    return frame as? F ?: throw IOException("unexpected ${frame::class.simpleName} in handshake")
}
