package org.pomeloladder.peer

import java.net.ServerSocket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.ConfigSequence
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.SubscriberId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.AttemptId
import org.pomeloladder.decisions.ControlMessage
import org.pomeloladder.decisions.Incarnation
import org.pomeloladder.decisions.PrefixKey
import org.pomeloladder.decisions.RequestId
import org.pomeloladder.decisions.RequestSpec
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isNotNull

private const val WAIT_S = 10L

class RealPeerTransportTest {
    private val received = LinkedBlockingQueue<TrafficFrame>()

    @Test
    fun `a cancel while the connection is being opened is sent after its forward`() {
        val receiverAddress = Address("127.0.0.1", ServerSocket(0).use { it.localPort })
        transport("norte-2", receiverAddress).use { receiver ->
            transport("norte-1", Address("127.0.0.1", 0)).use { sender ->
                receiver.start(FrameRecorder())
                sender.start(FrameRecorder())
                sender.updatePeers(mapOf(VmId("norte-2") to receiverAddress))

                val attempt = AttemptId("a1")
                val frame = ForwardFrame(attempt, spec(), null, 0, ByteArray(0), "")
                sender.sendForward(VmId("norte-2"), frame) { error("not sent") }
                sender.sendCancel(VmId("norte-2"), CancelFrame(attempt))

                expectThat(next()).isNotNull().isA<ForwardFrame>()
                expectThat(next()).isNotNull().isA<CancelFrame>()
            }
        }
    }

    private fun next(): TrafficFrame? = received.poll(WAIT_S, TimeUnit.SECONDS)

    private fun transport(vm: String, listenAddress: Address) =
        RealPeerTransport(PeerIdentity(VmId(vm), Incarnation(1), ByteArray(32)), listenAddress)

    private fun spec() = RequestSpec(
        id = RequestId("r1"),
        subscriber = SubscriberId("cafe-1"),
        service = ServiceId("orders"),
        promptTokens = 1,
        maxOutputTokens = 0,
        prefix = PrefixKey(0),
        budgetMs = 1_000,
        sequence = ConfigSequence(1),
    )

    private inner class FrameRecorder : PeerHandler {
        override fun onControl(from: VmId, message: ControlMessage) = Unit

        override fun onControlConnectionChange(vm: VmId, isUp: Boolean) = Unit

        override fun onTraffic(from: VmId, frame: TrafficFrame, replyTo: ReplySender) {
            received += frame
        }

        override fun onForwardsLost(vm: VmId) = Unit

        override fun onRepliesLost(vm: VmId, replyTo: ReplySender) = Unit

        override fun onHandshakeFailed(reason: String) = Unit
    }
}
