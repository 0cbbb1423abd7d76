/*
 * Connections to other entry VMs. Each process opens its own connections for what it sends: control messages on one,
 * forwarded attempts on the other. Answers return on the connection of their attempt.
 */
package org.pomeloladder.peer

import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.ControlMessage

/** Sends to peers. Safe to call from any thread; calls do not block unless stated. */
interface PeerTransport : AutoCloseable {
    /** Listens and starts to deliver to [handler]. */
    fun start(handler: PeerHandler)

    /** Replaces the known addresses. Connections to VMs that are no longer known are closed. */
    fun updatePeers(addresses: Map<VmId, Address>)

    /**
     * Sends [message], or drops it when there is no connection; a dropped call starts to connect. To a VM of unknown
     * address it goes back on the connection that the VM opened.
     */
    fun sendControl(to: VmId, message: ControlMessage)

    /** Sends [message] to whatever VM answers at [address]; it must prove the shared key like any other. */
    fun sendToAddress(address: Address, message: ControlMessage)

    /**
     * Sends a forwarded attempt. Calls [onNotSent] when no byte of it can have left; otherwise the fate of the attempt
     * is told by frames from the peer or by [PeerHandler.onForwardsLost].
     */
    fun sendForward(to: VmId, frame: ForwardFrame, onNotSent: () -> Unit)

    /**
     * Cancels a forwarded attempt; without effect when the connection is gone. While the connection is being opened, the
     * cancel waits and follows its forward.
     */
    fun sendCancel(to: VmId, frame: CancelFrame)
}

/** Receives from peers that proved the shared key. Called on transport threads. */
interface PeerHandler {
    fun onControl(from: VmId, message: ControlMessage)

    /** A control connection from [vm] opened, or the last one closed. */
    fun onControlLink(vm: VmId, isUp: Boolean)

    /** A frame about an attempt. [replies] leads back to the sender. */
    fun onTraffic(from: VmId, frame: TrafficFrame, replies: ReplyLink)

    /** The connection on which this process forwarded to [vm] broke; attempts on it have an unknown outcome. */
    fun onForwardsLost(vm: VmId)

    /** The connection on which [replies] led back broke; its attempts have no receiver any more. */
    fun onRepliesLost(vm: VmId, replies: ReplyLink)

    fun onRefusedPeer(reason: String)
}

/** The way back to the process that forwarded an attempt. */
interface ReplyLink {
    /** Sends [frame], waiting while the connection is full. Returns false when the connection is gone. */
    fun send(frame: TrafficFrame): Boolean
}
