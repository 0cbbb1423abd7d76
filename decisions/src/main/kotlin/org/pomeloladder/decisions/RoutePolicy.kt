/*
 * Where a request goes. Policies read the tables and change nothing.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.VmId

/** A routing decision. */
sealed interface Route {
    /** Queue at [server], which this process owns. */
    data class Own(val server: BackendServerId) : Route

    /** Forward to [vm]. [server] is set when the ingress knows the backend servers of that VM's failure domain. */
    data class Peer(val vm: VmId, val server: BackendServerId?) : Route

    /** Nothing can take the request now. */
    data class None(val refusal: Refusal) : Route
}

/** Chooses backend servers. */
interface RoutePolicy {
    /** The route for a caller's [request], leaving out what it has tried before. */
    fun route(world: World, request: Request, tick: Tick): Route

    /** A server for a forwarded [attempt] among those that this process owns, or null when none can take it. */
    fun place(world: World, attempt: Attempt, tick: Tick): BackendServerId?
}

/** The servers of the own failure domain that serve [service] and take new work at [nowMs]. */
fun World.availableServers(service: ServiceId, nowMs: Long): List<BackendServer> =
    backends.filter { service in it.record.services && it.isAvailable(nowMs) }
