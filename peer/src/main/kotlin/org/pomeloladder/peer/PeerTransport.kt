/*
 * Connections between entry VMs. Each process opens one connection to a peer for control messages
 * and one for the attempts that it forwards. The response to a forwarded attempt returns on the
 * connection that carried the attempt.
 */
package org.pomeloladder.peer

import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.ControlMessage

/** Sends frames to peers. Thread-safe; methods do not block unless stated. */
interface PeerTransport : AutoCloseable {
    /** Starts to listen and delivers received frames to [handler]. */
    fun start(handler: PeerHandler)

    /** Replaces the peer addresses and closes connections to VMs that are no longer listed. */
    fun updatePeers(addresses: Map<VmId, Address>)

    /**
     * Sends [message] to [to] and opens a connection if none exists. The message is dropped if the
     * connection fails or its send queue is full. If the address of [to] is unknown, the message
     * is sent on the control connection that [to] opened, if there is one.
     */
    fun sendControl(to: VmId, message: ControlMessage)

    /**
     * Sends [message] to the VM that listens on [address], whichever it is. The VM must prove
     * knowledge of the shared key, as on every connection.
     */
    fun sendToAddress(address: Address, message: ControlMessage)

    /**
     * Sends a forwarded attempt. Calls [onNotSent] if certainly no byte of the frame was sent.
     * Otherwise the outcome arrives as frames from the peer or as
     * [PeerHandler.onForwardsLost].
     */
    fun sendForward(to: VmId, frame: ForwardFrame, onNotSent: () -> Unit)

    /**
     * Cancels a forwarded attempt. Has no effect if the connection is closed. While the connection
     * is being opened, the cancel frame waits and is sent after the forward frame.
     */
    fun sendCancel(to: VmId, frame: CancelFrame)
}

/** Receives events from peers that proved the shared key. Called on transport threads. */
interface PeerHandler {
    fun onControl(from: VmId, message: ControlMessage)

    /** Called when a control connection from [vm] opens and when its last one closes. */
    fun onControlConnectionChange(vm: VmId, isUp: Boolean)

    /** Called for each frame of a traffic connection. [replyTo] replies on that connection. */
    fun onTraffic(from: VmId, frame: TrafficFrame, replyTo: ReplySender)

    /**
     * Called when the connection closes on which this process forwarded attempts to [vm]. The
     * outcome of unfinished attempts on it is unknown.
     */
    fun onForwardsLost(vm: VmId)

    /**
     * Called when the connection of [replyTo] closes. The responses to the attempts that
     * arrived on it can no longer be delivered.
     */
    fun onRepliesLost(vm: VmId, replyTo: ReplySender)

    /** Called when an incoming connection fails the handshake. */
    fun onHandshakeFailed(reason: String)
}

/** Sends response frames to the process that forwarded an attempt. */
interface ReplySender {
    /** Sends [frame]; blocks while the send queue is full. Returns false if it is closed. */
    fun send(frame: TrafficFrame): Boolean
}
