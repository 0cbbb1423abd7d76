/*
 * The configuration document that operators write and the platform publishes. It defines regions,
 * subscriber groups, services and subscribers. VM lists are separate documents: they change
 * independently, and including them would exceed the platform's limit of 1 MB per value.
 */
package org.pomeloladder.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The complete document of one version. Immutable; [applied] returns a changed copy. */
@Serializable
data class Configuration(
    val regions: Map<RegionId, Region> = emptyMap(),
    val groups: Map<SubscriberGroupId, SubscriberGroup> = emptyMap(),
    val services: Map<ServiceId, Service> = emptyMap(),
    val subscribers: Map<SubscriberId, Subscriber> = emptyMap(),
) {
    /** Returns the region that contains [domain], or null if no region lists it. */
    fun regionOf(domain: FailureDomainId): RegionId? =
        regions.entries.firstOrNull { domain in it.value.domains }?.key

    /** Returns the regions that may process data of [subscriber]; empty if it is unknown. */
    fun allowedRegions(subscriber: SubscriberId): Set<RegionId> {
        val group = subscribers[subscriber]?.group ?: return emptySet()
        return groups[group]?.regions ?: emptySet()
    }
}

/** The failure domains of one region. */
@Serializable
data class Region(val domains: Set<FailureDomainId>)

/**
 * The services and regions that the subscribers of a group may use.
 *
 * [weight] is the group's share of a contended backend server relative to other groups.
 * [deadlineMs] is the default for calls that do not specify a deadline.
 */
@Serializable
data class SubscriberGroup(
    val services: Set<ServiceId>,
    val regions: Set<RegionId>,
    val weight: Int = 1,
    val deadlineMs: Long = 60_000,
)

/**
 * A subscriber, its group and the hashes of its API keys. If [homeRegion] is set, only that region
 * may process the subscriber's requests.
 */
@Serializable
data class Subscriber(
    val group: SubscriberGroupId,
    val keyHashes: Set<ApiKeyHash>,
    val homeRegion: RegionId? = null,
)

/** A service that the gateway routes to. */
@Serializable
sealed interface Service {
    /** A language model, served by engines that have [model] loaded. */
    @Serializable
    @SerialName("model")
    data class LanguageModel(
        val model: ModelId,
        val adapters: Set<ModelId> = emptySet(),
        val replicasPerDomain: Int = 1,
    ) : Service

    /** A plain service. When [idempotent] is false its calls are orders and run at most once. */
    @Serializable
    @SerialName("plain")
    data class Plain(val idempotent: Boolean = false) : Service
}
