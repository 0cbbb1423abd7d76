/*
 * What listeners answer without asking the control thread: readiness, limits and the directory of entry VMs.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.VmId

/** What the listeners answer without asking the control thread. */
data class EntryView(
    val isReady: Boolean = false,
    val isDraining: Boolean = false,
    val limits: CallerLimits = CallerLimits(),
    val entries: List<EntryPoint> = emptyList(),
    val publishedView: PublishedView? = null,
) {
    /**
     * Entry VMs for a caller of [host] in [region]: those of its region, or while there are none those of the regions
     * where the host's routes may be served, so that no body is sent to a region that may not have it.
     */
    fun entriesFor(host: String, region: RegionId?): List<EntryPoint> {
        val near = entries.filter { it.region == region }
        if (near.isNotEmpty()) return near
        val routes = publishedView?.catalog?.routesForHost(host).orEmpty()
        return entries.filter { entry -> routes.all { it.allowsRegion(entry.region) } }
    }
}

/** An entry VM that callers may use. */
data class EntryPoint(
    val vm: VmId,
    val callers: Address,
    val region: RegionId,
    val domain: FailureDomainId,
)
