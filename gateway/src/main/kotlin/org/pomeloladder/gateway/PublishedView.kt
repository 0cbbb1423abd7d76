/*
 * Everything that the platform publishes, at one revision. A VM that the platform does not answer
 * fetches it from a peer.
 */
package org.pomeloladder.gateway

import kotlinx.serialization.Serializable
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.ServiceId

/**
 * A backend server as announced by itself. Durations are relative to the time of the announcement.
 * [endsInMs] is set if the server will be shut down at short notice.
 */
@Serializable
data class BackendRecord(
    val id: BackendServerId,
    val service: ServiceId,
    val address: Address,
    val domain: FailureDomainId,
    val slots: Int,
    val isDraining: Boolean,
    val coldForMs: Long,
    val startedAtUnixMs: Long,
    val endsInMs: Long? = null,
)

/**
 * Catalog, backend servers and evacuated failure domains. [revision] never decreases within one
 * process.
 */
@Serializable
data class PublishedView(
    val revision: Long,
    val catalog: Catalog,
    val backends: List<BackendRecord>,
    val evacuated: Set<FailureDomainId>,
) {
    /**
     * Returns this view with what [other] has of a newer version or revision, or this view if it has
     * nothing newer. Catalog and servers are compared apart, since a VM that cannot decode the
     * newest catalog still follows the servers.
     */
    fun updatedBy(other: PublishedView): PublishedView {
        val isCatalogNewer = other.catalog.version > catalog.version
        if (!isCatalogNewer && other.revision <= revision) return this
        val latest = if (other.revision > revision) other else this
        return latest.copy(catalog = if (isCatalogNewer) other.catalog else catalog)
    }
}
