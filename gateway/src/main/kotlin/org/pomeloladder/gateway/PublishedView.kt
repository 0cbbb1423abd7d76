/*
 * Everything that the platform publishes, at one revision. Peers hand it to each other when the platform does not
 * answer one of them.
 */
package org.pomeloladder.gateway

import kotlinx.serialization.Serializable
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.ServiceId

/**
 * A backend server as it announced itself. Durations count from the moment of the announcement. [endsInMs] is set when the
 * server is taken away at short notice.
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

/** Catalog, backend servers and evacuated failure domains. [revision] never decreases at one process. */
@Serializable
data class PublishedView(
    val revision: Long,
    val catalog: Catalog,
    val backends: List<BackendRecord>,
    val evacuated: Set<FailureDomainId>,
)
