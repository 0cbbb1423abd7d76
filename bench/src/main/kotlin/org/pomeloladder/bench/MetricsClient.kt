/*
 * Reads metrics of a daemon.
 */
package org.pomeloladder.bench

import org.http4k.client.JettyClient
import org.http4k.core.Method
import org.http4k.core.Request
import org.pomeloladder.configuration.Address

/** Reads the metrics of the daemon whose administration listener is at [address]. */
class MetricsClient(private val address: Address) {
    /** The value of counter [name] for [reason]; zero when it was never counted. */
    fun value(name: String, reason: String): Double = lines()
        .filter { it.startsWith("$name{") && "reason=\"$reason\"" in it }
        .sumOf { it.substringAfterLast(' ').toDouble() }

    /** The value of gauge [name], which has no labels; null when the daemon does not answer. */
    fun gauge(name: String): Double? =
        lines().firstOrNull { it.startsWith("$name ") }?.substringAfterLast(' ')?.toDouble()

    private fun lines() = http(Request(Method.GET, "http://$address/metrics")).bodyString().lines()

    private companion object {
        val http = JettyClient()
    }
}
