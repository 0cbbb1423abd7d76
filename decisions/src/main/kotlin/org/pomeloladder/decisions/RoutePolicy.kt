/*
 * The interface of routing policies. A policy chooses the destination of a request from the tables
 * and does not change any row in them.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.VmId

/** A routing decision. */
sealed interface Route {
    /** Queue the request for [server], which this process owns. */
    data class Own(val server: BackendServerId) : Route

    /**
     * Forward the request to [vm]. [server] is the chosen backend server when [vm] is in this
     * process's failure domain, and null otherwise.
     */
    data class Peer(val vm: VmId, val server: BackendServerId?) : Route

    /** No server or VM can take the request at present. */
    data class None(val refusal: Refusal) : Route
}

/** Chooses the destination of requests and of forwarded attempts. */
interface RoutePolicy {
    /** Returns a route for a caller's [request] to a server or VM that it has not tried. */
    fun route(world: World, request: Request, tick: Tick): Route

    /** Returns an owned server for a forwarded [attempt], or null when none can take it. */
    fun place(world: World, attempt: Attempt, tick: Tick): BackendServerId?
}

/**
 * Returns the servers of this failure domain that serve [service] and accept new work at [nowMs].
 */
fun World.availableServers(service: ServiceId, nowMs: Long): List<BackendServer> =
    backends.filter { service in it.record.services && it.isAvailable(nowMs) }
