/*
 * The data from which listeners answer requests without the control thread: readiness, limits and
 * the directory of entry VMs.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.VmId

/** Immutable snapshot that the control thread publishes for the listeners. */
data class EntryView(
    val isReady: Boolean = false,
    val isDraining: Boolean = false,
    val limits: CallerLimits = CallerLimits(),
    val entries: List<EntryPoint> = emptyList(),
    val publishedView: PublishedView? = null,
) {
    /**
     * Returns the entry VMs for a caller of [host] in [region]: those of its region or, if it has
     * none, those of regions that may serve all routes of the host, so that no request body is sent
     * to a region that must not receive it. Without a route, the homes of the host are not known.
     */
    fun entriesFor(host: String, region: RegionId?): List<EntryPoint> {
        val local = entries.filter { it.region == region }
        if (local.isNotEmpty()) return local
        val routes = publishedView?.catalog?.routesForHost(host).orEmpty()
        if (routes.isEmpty()) return emptyList()
        return entries.filter { entry -> routes.all { it.allowsRegion(entry.region) } }
    }
}

/** An entry VM to which callers may connect. */
data class EntryPoint(
    val vm: VmId,
    val callers: Address,
    val region: RegionId,
    val domain: FailureDomainId,
)
