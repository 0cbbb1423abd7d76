/*
 * The configuration that operators publish for the route gateway: routes, services and the limits
 * for callers. A catalog is immutable and is replaced as a whole by a newer version.
 */
package org.pomeloladder.gateway

import kotlinx.serialization.Serializable
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.ServiceId

/** Whether calls on a route may be repeated and how their answers are sent. */
@Serializable
enum class RouteKind { IDEMPOTENT, NON_IDEMPOTENT, STREAMING }

/** A service of a route and its weight in distributing the route's calls. */
@Serializable
data class WeightedService(val service: ServiceId, val weight: Int)

/** One route. [homes] lists the regions that may serve it; if empty, every region may. */
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
    /** Whether a call that may already have run may be sent to another backend server. */
    val isRepeatable: Boolean
        get() = kind == RouteKind.IDEMPOTENT || isResumableStream

    /** Whether a caller may take up its stream after a broken connection. */
    val isResumableStream: Boolean
        get() = kind == RouteKind.STREAMING && isResumable

    fun allowsRegion(region: RegionId) = homes.isEmpty() || region in homes
}

/**
 * Capacity of each model engine of a service. An engine can copy cached prompt parts from another
 * one, at [kvBytesPerToken] over a link of [kvLinkMbps]; both are 0 if the engines do not support
 * copying.
 */
@Serializable
data class EngineSpec(
    val slots: Int,
    val kvCapacityTokens: Long,
    val kvBytesPerToken: Double = 0.0,
    val kvLinkMbps: Double = 0.0,
)

/** One service. [engine] is null if its servers are not model engines. */
@Serializable
data class ServiceSpec(
    val id: ServiceId,
    val healthPath: String,
    val maxConnections: Int,
    val coldRequestsPerS: Double,
    val engine: EngineSpec?,
)

/** Limits on the size of a caller's request and the time for sending it. */
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
    // Sorted by descending prefix length, so that the first match is the most specific route.
    private val routesByHost: Map<String, List<Route>> by lazy {
        routes.groupBy { it.host }
            .mapValues { (_, list) -> list.sortedByDescending { it.prefix.length } }
    }
    private val servicesById: Map<ServiceId, ServiceSpec> by lazy { services.associateBy { it.id } }

    private val mostUrgentByService: Map<ServiceId, Int> by lazy {
        routes.flatMap { route -> route.targets.map { it.service to route.priority } }
            .groupBy({ it.first }, { it.second })
            .mapValues { (_, priorities) -> priorities.min() }
    }

    /** Returns the route of [host] with the longest prefix that matches [path]. */
    fun findRoute(host: String, path: String): Route? =
        routesByHost[host]?.firstOrNull { path.startsWith(it.prefix) }

    /** Returns all routes of [host]. */
    fun routesForHost(host: String): List<Route> = routesByHost[host].orEmpty()

    fun service(id: ServiceId): ServiceSpec? = servicesById[id]

    /** Returns the most urgent (lowest) priority among the routes to [service]. */
    fun mostUrgentPriority(service: ServiceId): Int = mostUrgentByService[service] ?: 0
}
