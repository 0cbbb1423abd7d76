/*
 * The HTTP API for operators, on its own listener. It reads the control state and checks patches.
 * The only change it can request is a graceful shutdown. `/metrics` and `/healthz` need no key; all
 * other routes require an administration key.
 */
package org.pomeloladder.daemon

import java.util.concurrent.TimeoutException
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.core.then
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes
import org.pomeloladder.configuration.ApiKeyHash
import org.pomeloladder.configuration.Patch
import org.pomeloladder.decisions.DrainRequested
import org.pomeloladder.decisions.RequestId
import org.pomeloladder.decisions.World
import org.pomeloladder.runtime.Metrics

/** Maximum size of a patch to check; the platform accepts no larger value. */
private const val MAX_PATCH_BYTES = 1024 * 1024

/** One route, as `docs/administration.yaml` lists it. */
internal class AdministrationRoute(
    val method: Method,
    val path: String,
    val isPublic: Boolean = false,
    val handle: HttpHandler,
)

/** Serves the HTTP API for operators. [keyHashes] are the hashes of the valid keys. */
class AdministrationApi(
    private val control: ControlAccess,
    private val metrics: Metrics,
    private val keyHashes: Set<ApiKeyHash>,
) {
    internal val routeTable: List<AdministrationRoute> = listOf(
        AdministrationRoute(Method.GET, "/healthz", isPublic = true) {
            Response(Status.OK).body("ok\n")
        },
        AdministrationRoute(Method.GET, "/metrics", isPublic = true) { metricsResponse() },
        readRoute("/v1/process") { _ ->
            ProcessStatus(self.vm.value, self.domain.value, self.incarnation.value)
        },
        readRoute("/v1/configuration") { configurationStatus(it) },
        AdministrationRoute(Method.POST, "/v1/configuration/check", handle = ::check),
        readRoute("/v1/groups") { _ -> groupStatuses() },
        readRoute("/v1/services") { _ -> serviceStatuses() },
        readRoute("/v1/regions") { _ -> regionStatuses() },
        readRoute("/v1/usage") { _ -> usageStatuses() },
        readRoute("/v1/backends") { backendStatuses(it) },
        readRoute("/v1/entries") { entryStatuses(it) },
        AdministrationRoute(Method.GET, "/v1/requests/{id}", handle = ::trace),
        AdministrationRoute(Method.POST, "/v1/drain", handle = ::drain),
    )

    /** All routes of the administration listener. */
    fun handler(): HttpHandler = jsonErrors().then(routes(routeTable.map(::bindRoute)))

    private fun bindRoute(route: AdministrationRoute): RoutingHttpHandler =
        route.path bind route.method to { request ->
            if (route.isPublic || isAuthorized(request)) route.handle(request) else unauthorized()
        }

    private inline fun <reified T> readRoute(path: String, crossinline copy: World.(Long) -> T) =
        AdministrationRoute(Method.GET, path) {
            jsonResponse(control.readWithTime { world, nowMs -> world.copy(nowMs) })
        }

    private fun metricsResponse(): Response {
        // If the control thread does not respond, the counters are still returned, since they are
        // needed most in that case.
        try {
            metrics.setGauges(control.readWithTime { world, nowMs -> world.gauges(nowMs) })
        } catch (_: TimeoutException) {
            return Response(Status.OK).header("Content-Type", METRICS_TYPE).body(metrics.toText())
        }
        return Response(Status.OK).header("Content-Type", METRICS_TYPE).body(metrics.toText())
    }

    private fun check(request: Request): Response {
        val bytes = request.readBody(MAX_PATCH_BYTES) ?: return error(
            Status.REQUEST_ENTITY_TOO_LARGE,
            "too-large",
            "a patch has at most $MAX_PATCH_BYTES bytes",
        )
        val patch = try {
            daemonJson.decodeFromString<Patch>(bytes.decodeToString())
        } catch (e: SerializationException) {
            val detail = "body is not a patch: ${e.message.orEmpty().lineSequence().first()}"
            return error(Status.BAD_REQUEST, "bad-request", detail)
        }
        val snapshot = control.read { it.configuration.snapshot }
            ?: return error(Status.SERVICE_UNAVAILABLE, "not-ready", "no configuration yet")
        return jsonResponse(snapshot.check(patch))
    }

    private fun trace(request: Request): Response {
        val id = RequestId(request.path("id").orEmpty())
        val trace = control.readWithTime { world, nowMs -> world.traceResponse(id, nowMs) }
            ?: return error(Status.NOT_FOUND, "unknown-request", "no trace of request $id here")
        return jsonResponse(trace)
    }

    private fun drain(@Suppress("UNUSED_PARAMETER") request: Request): Response {
        control.post(DrainRequested)
        val drainStatus = control.read { world ->
            DrainResponse(world.self.vm.value, world.process.isDraining, world.requests.size)
        }
        return jsonResponse(drainStatus).status(Status.ACCEPTED)
    }

    private fun isAuthorized(request: Request): Boolean {
        val key = request.apiKey() ?: return false
        return hashApiKey(key) in keyHashes
    }

    private fun unauthorized() =
        error(Status.UNAUTHORIZED, "unauthorized", "no valid administration key")

    private inline fun <reified T> jsonResponse(value: T): Response = Response(Status.OK)
        .header("Content-Type", "application/json")
        .body(daemonJson.encodeToString(value))

    private fun error(status: Status, reason: String, detail: String) =
        errorResponse(status, reason, detail)

    private companion object {
        const val METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
    }
}
