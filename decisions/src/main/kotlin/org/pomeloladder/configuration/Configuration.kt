/*
 * The configuration document that operators write and the platform publishes. It names subscriber groups, subscribers,
 * services and regions. VM lists are separate documents, because they change on their own and would take the document
 * over the platform's limit of 1 MB a value.
 */
package org.pomeloladder.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The whole document of one version. Immutable; [applied] gives the document after a change. */
@Serializable
data class Configuration(
    val regions: Map<RegionId, Region> = emptyMap(),
    val groups: Map<SubscriberGroupId, SubscriberGroup> = emptyMap(),
    val services: Map<ServiceId, Service> = emptyMap(),
    val subscribers: Map<SubscriberId, Subscriber> = emptyMap(),
) {
    /** The region that contains [domain], or null when no region lists it. */
    fun regionOf(domain: FailureDomainId): RegionId? =
        regions.entries.firstOrNull { domain in it.value.domains }?.key

    /** The regions where data of [subscriber] may be processed; empty for an unknown subscriber. */
    fun allowedRegions(subscriber: SubscriberId): Set<RegionId> {
        val group = subscribers[subscriber]?.group ?: return emptySet()
        return groups[group]?.regions ?: emptySet()
    }
}

/** The failure domains of one region. */
@Serializable
data class Region(val domains: Set<FailureDomainId>)

/**
 * What the subscribers of a group may use.
 *
 * [weight] is the group's share of a contended backend server relative to other groups. [deadlineMs] applies to calls
 * that name no deadline of their own.
 */
@Serializable
data class SubscriberGroup(
    val services: Set<ServiceId>,
    val regions: Set<RegionId>,
    val weight: Int = 1,
    val deadlineMs: Long = 60_000,
)

/** A subscriber, its group and the hashes of its API keys. [homeRegion] binds its requests to one region. */
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
