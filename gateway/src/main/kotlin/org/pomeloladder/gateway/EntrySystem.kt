/*
 * Publishes the data that listeners need to answer requests without the control thread: readiness,
 * the directory of entry VMs and the limits for callers.
 */
package org.pomeloladder.gateway

import org.pomeloladder.decisions.LogEvent

/** Publishes an [EntryView] whenever its contents have changed. */
class EntrySystem : GatewaySystem {
    /**
     * State from which the view is derived. Most ticks change none of it, and no view is built
     * then.
     */
    private data class Inputs(
        val isReady: Boolean,
        val isDraining: Boolean,
        val viewVersion: Long,
        val membershipVersion: Long,
    )

    private var inputs: Inputs? = null

    override fun run(world: GatewayWorld, tick: GatewayTick) {
        val process = world.process
        val current = Inputs(
            isReady = process.isReady,
            isDraining = process.isDraining,
            viewVersion = process.viewVersion,
            membershipVersion = process.membershipVersion,
        )
        if (current == inputs) return
        inputs = current
        val view = EntryView(
            isReady = process.isReady,
            isDraining = process.isDraining,
            limits = world.catalog?.limits ?: CallerLimits(),
            entries = entries(world),
            publishedView = process.receivedView,
        )
        val before = process.entryView
        if (view == before) return
        process.entryView = view
        tick.emit(PublishEntryView(view))
        if (view.isReady && before?.isReady != true) {
            tick.journal.log(LogEvent.READY, mapOf("revision" to process.view?.revision))
        }
    }

    private fun entries(world: GatewayWorld): List<EntryPoint> {
        val peers = world.peers.filter { it.isLive && it.isReady && !it.isDraining }
            .map { entryPoint(it.identity) }
        return if (world.process.isReady) peers + entryPoint(world.self) else peers
    }

    private fun entryPoint(identity: PeerIdentity) =
        EntryPoint(identity.vm, identity.callers, identity.region, identity.domain)
}
