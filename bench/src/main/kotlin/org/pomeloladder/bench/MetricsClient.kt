/*
 * Reads the metrics of a daemon.
 */
package org.pomeloladder.bench

import org.http4k.client.JettyClient
import org.http4k.core.Method
import org.http4k.core.Request
import org.pomeloladder.configuration.Address

/** Reads the metrics of the daemon whose administration listener is at [address]. */
class MetricsClient(private val address: Address) {
    /** Returns the value of counter [name] for [reason], or zero if it was never incremented. */
    fun counter(name: String, reason: String): Double = lines()
        .filter { it.startsWith("$name{") && "reason=\"$reason\"" in it }
        .sumOf { it.substringAfterLast(' ').toDouble() }

    /** Returns the value of gauge [name], which has no labels, or null if it is not reported. */
    fun gauge(name: String): Double? =
        lines().firstOrNull { it.startsWith("$name ") }?.substringAfterLast(' ')?.toDouble()

    private fun lines() = http(Request(Method.GET, "http://$address/metrics")).bodyString().lines()

    private companion object {
        val http = JettyClient()
    }
}
