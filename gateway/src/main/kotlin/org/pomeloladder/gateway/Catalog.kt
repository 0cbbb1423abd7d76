/*
 * What operators publish for the route gateway: routes, services and the limits for callers. A catalog is immutable; a
 * newer one replaces it as a whole.
 */
package org.pomeloladder.gateway

import kotlinx.serialization.Serializable
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.ServiceId

/** What may be repeated on a route. */
@Serializable
enum class RouteKind { IDEMPOTENT, NON_IDEMPOTENT, STREAMING }

/** A service of a route and its share of the route's calls. */
@Serializable
data class WeightedService(val service: ServiceId, val weight: Int)

/** One route. [homes] is empty when the route may be served in every region. */
@Serializable
data class Route(
    val id: RouteId,
    val host: String,
    val prefix: String,
    val kind: RouteKind,
    val timeoutMs: Long,
    val objectiveMs: Long,
    val gapObjectiveMs: Long,
    val priority: Int,
    val targets: List<WeightedService>,
    val maxSends: Int,
    val isResumable: Boolean,
    val homes: Set<RegionId>,
) {
    /** Whether a second backend server may run a call that may have run already. */
    val isRepeatable: Boolean
        get() = kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAMING && isResumable

    fun allowsRegion(region: RegionId) = homes.isEmpty() || region in homes
}

/**
 * Sizes of the model engines of a service. An engine copies what another one keeps of a prompt at [kvBytesPerToken] over
 * a link of [kvLinkMbps]; 0 when engines do not.
 */
@Serializable
data class EngineSpec(
    val slots: Int,
    val kvCapacityTokens: Long,
    val kvBytesPerToken: Double = 0.0,
    val kvLinkMbps: Double = 0.0,
)

/** One service. [engine] is null for plain services. */
@Serializable
data class ServiceSpec(
    val id: ServiceId,
    val healthPath: String,
    val maxConnections: Int,
    val coldRequestsPerS: Double,
    val engine: EngineSpec?,
)

/** What a caller may send, and how long it may take. */
@Serializable
data class CallerLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 4_194_304,
    val headerTimeoutMs: Long = 3_000,
    val idleTimeoutMs: Long = 15_000,
)

/** All routes and services of one version. */
@Serializable
data class Catalog(
    val version: Long,
    val routes: List<Route>,
    val services: List<ServiceSpec>,
    val limits: CallerLimits,
) {
    // Longest prefixes first, so that the first match is the route.
    private val routesByHost: Map<String, List<Route>> by lazy {
        routes.groupBy { it.host }
            .mapValues { (_, list) -> list.sortedByDescending { it.prefix.length } }
    }
    private val servicesById: Map<ServiceId, ServiceSpec> by lazy { services.associateBy { it.id } }

    private val urgentByService: Map<ServiceId, Int> by lazy {
        routes.flatMap { route -> route.targets.map { it.service to route.priority } }
            .groupBy({ it.first }, { it.second })
            .mapValues { (_, priorities) -> priorities.min() }
    }

    /** The route with the longest prefix that begins [path], among the routes of [host]. */
    fun findRoute(host: String, path: String): Route? =
        routesByHost[host]?.firstOrNull { path.startsWith(it.prefix) }

    /** All routes of [host]. */
    fun routesForHost(host: String): List<Route> = routesByHost[host].orEmpty()

    fun service(id: ServiceId): ServiceSpec? = servicesById[id]

    /** The priority of the most urgent routes to [service]. */
    fun mostUrgentPriority(service: ServiceId): Int = urgentByService[service] ?: 0
}
