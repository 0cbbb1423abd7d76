/*
 * Calls of scripted backend servers on loopback.
 */
package org.pomeloladder.daemon

import java.net.Socket
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.BackendServerRecord
import org.pomeloladder.configuration.ConfigSequence
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.SubscriberId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.AttemptId
import org.pomeloladder.decisions.AttemptOutcome
import org.pomeloladder.decisions.BackendCall
import org.pomeloladder.decisions.HomeToken
import org.pomeloladder.decisions.Incarnation
import org.pomeloladder.decisions.OrderKey
import org.pomeloladder.decisions.PrefixKey
import org.pomeloladder.decisions.Refusal
import org.pomeloladder.decisions.RequestId
import org.pomeloladder.decisions.RequestSpec
import org.pomeloladder.peer.ResponsePart

/** Keeps the body of the answer, if one is delivered. */
internal open class RecordingSink(override val payload: ByteArray = "{}".toByteArray()) :
    ResponseSink {
    override val deliveredText = ""

    @Volatile
    var body: String? = null

    override fun onPart(attempt: AttemptId, part: ResponsePart): Boolean {
        if (part is ResponsePart.Body) body = part.bytes.decodeToString()
        return true
    }

    override fun onEnded(attempt: AttemptId, outcome: AttemptOutcome) = Unit

    override fun onRefused(attempt: AttemptId, refusal: Refusal) = Unit
}

/** An attempt at the server that listens on [port]. */
internal fun testAttempt(
    call: BackendCall,
    port: Int,
    sink: ResponseSink,
    subscriber: String = "cafe-1",
): BackendAttempt {
    val domain = FailureDomainId("norte-a")
    val home = HomeToken(domain, VmId("norte-1"), Incarnation(1), 0)
    val service = ServiceId("orders")
    val spec = RequestSpec(
        id = RequestId("r1"),
        subscriber = SubscriberId(subscriber),
        service = service,
        promptTokens = 1,
        maxOutputTokens = 0,
        prefix = PrefixKey(0),
        budgetMs = 1_000,
        sequence = ConfigSequence(1),
        order = OrderKey(home, "ref"),
    )
    val address = Address("127.0.0.1", port)
    val record = BackendServerRecord(BackendServerId("orders-1"), domain, address, setOf(service))
    return BackendAttempt(AttemptId("a1"), spec, record, call, fromToken = 0, sink = sink)
}

internal fun Socket.write(text: String) {
    getOutputStream().write(text.toByteArray())
    getOutputStream().flush()
}

/** Closes the connection with a TCP reset instead of an orderly shutdown. */
internal fun Socket.reset() {
    setSoLinger(true, 0)
    close()
}
