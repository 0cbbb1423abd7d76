/*
 * Everything that the platform publishes, at one position of its history. A VM that the platform
 * does not answer fetches it from a peer.
 */
package org.pomeloladder.gateway

import kotlinx.serialization.Serializable
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.ServiceId

/**
 * A backend server as announced by itself. Durations are relative to the time of the announcement.
 * [endsInMs] is set if the server will be shut down at short notice. [version] is null if the server
 * names none that can be read.
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
    val version: SoftwareVersion? = null,
)

/**
 * A part of the platform's history. A new era begins when the platform comes back from an older
 * copy of itself and has lost what it acknowledged since. It then gives out the revisions after
 * those of the copy once more.
 */
@Serializable
@JvmInline
value class PlatformEra(val value: Long) : Comparable<PlatformEra> {
    override fun compareTo(other: PlatformEra) = value.compareTo(other.value)

    override fun toString() = value.toString()

    companion object {
        /** The era of a platform that names none. */
        val UNKNOWN = PlatformEra(0)
    }
}

/** A position in the platform's history. Any position of a later era is newer. */
@Serializable
data class PlatformPosition(val era: PlatformEra, val revision: Long) :
    Comparable<PlatformPosition> {
    override fun compareTo(other: PlatformPosition) =
        compareValuesBy(this, other, { it.era }, { it.revision })
}

/**
 * Catalog, backend servers and evacuated failure domains, as of [revision] in [era]. The catalog was
 * read at [catalogPosition]. Its version never decreases within one process, whatever the era.
 */
@Serializable
data class PublishedView(
    val revision: Long,
    val catalog: Catalog,
    val backends: List<BackendRecord>,
    val evacuated: Set<FailureDomainId>,
    val era: PlatformEra = PlatformEra.UNKNOWN,
    val catalogPosition: PlatformPosition = PlatformPosition(era, revision),
) {
    val position: PlatformPosition
        get() = PlatformPosition(era, revision)

    /**
     * Returns this view with what [other] has of a newer version or position, or this view if it has
     * nothing newer. Catalog and servers are compared apart, since a VM that cannot decode the
     * newest catalog still follows the servers, and a copy brings back servers at a newer position
     * together with an older catalog.
     */
    fun updatedBy(other: PublishedView): PublishedView {
        val isCatalogNewer = isCatalogOlderThan(
            other.catalog.version,
            other.catalogPosition,
        )
        if (!isCatalogNewer && other.position <= position) return this
        val latest = if (other.position > position) other else this
        val catalogSource = if (isCatalogNewer) other else this
        return latest.copy(
            catalog = catalogSource.catalog,
            catalogPosition = catalogSource.catalogPosition,
        )
    }

    /**
     * Whether the catalog is older than one of [version] read at [otherPosition]. A new era may give
     * a version out again with other contents.
     */
    fun isCatalogOlderThan(version: Long, otherPosition: PlatformPosition): Boolean =
        version > catalog.version || version == catalog.version && otherPosition > catalogPosition
}
