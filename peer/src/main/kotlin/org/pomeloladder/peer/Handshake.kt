/*
 * The handshake of a peer connection. Each side sends a hello with a random nonce and proves that
 * it knows the shared key by an HMAC over both hellos. The nonces prevent replay of a recorded
 * handshake on another connection.
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

/** The identity that a process presents to peers, and the key shared by all entry VMs. */
class PeerIdentity(val vm: VmId, val incarnation: Incarnation, internal val sharedKey: ByteArray)

/** A peer that proved knowledge of the shared key. */
internal class AuthenticatedPeer(val vm: VmId, val incarnation: Incarnation, val kind: ChannelKind)

internal class Handshake(private val self: PeerIdentity) {
    private val random = SecureRandom()

    /** Runs the handshake on the side that opened the connection. */
    suspend fun dial(
        input: ByteReadChannel,
        output: ByteWriteChannel,
        kind: ChannelKind,
    ): AuthenticatedPeer {
        val localHello = hello(kind)
        output.send(localHello)
        val remoteHello = input.receive<Hello>()
        verify(input.receive<Proof>(), ACCEPTOR, localHello, remoteHello)
        output.send(Proof(mac(DIALER, localHello, remoteHello)))
        return AuthenticatedPeer(remoteHello.vm, remoteHello.incarnation, kind)
    }

    /** Runs the handshake on the side that accepted the connection. */
    suspend fun accept(input: ByteReadChannel, output: ByteWriteChannel): AuthenticatedPeer {
        val remoteHello = input.receive<Hello>()
        val localHello = hello(remoteHello.kind)
        output.send(localHello)
        output.send(Proof(mac(ACCEPTOR, remoteHello, localHello)))
        verify(input.receive<Proof>(), DIALER, remoteHello, localHello)
        return AuthenticatedPeer(remoteHello.vm, remoteHello.incarnation, remoteHello.kind)
    }

    private fun hello(kind: ChannelKind): Hello {
        val nonce = ByteArray(NONCE_BYTES).also(random::nextBytes)
        return Hello(self.vm, self.incarnation, kind, nonce)
    }

    private fun verify(proof: Proof, role: String, dialer: Hello, acceptor: Hello) {
        if (!MessageDigest.isEqual(proof.mac, mac(role, dialer, acceptor))) {
            throw IOException("peer did not prove knowledge of the shared key")
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
