/*
 * Open-loop arrivals: calls arrive regardless of whether earlier ones have been answered.
 */
package org.pomeloladder.bench

import kotlin.math.ln
import kotlin.random.Random

private const val MS_PER_SECOND = 1_000.0

/**
 * Returns the times of Poisson arrivals in milliseconds from the start, all below [durationMs]. The
 * rate at time t is [peakPerSecond] times [relativeRate] of t, which must be between 0 and 1.
 */
fun poissonArrivals(
    random: Random,
    durationMs: Long,
    peakPerSecond: Double,
    relativeRate: (Double) -> Double = { 1.0 },
): List<Double> {
    val times = ArrayList<Double>()
    var atMs = 0.0
    while (true) {
        atMs += -ln(1 - random.nextDouble()) / peakPerSecond * MS_PER_SECOND
        if (atMs >= durationMs) return times
        // Thinning keeps the arrivals a Poisson process while the rate changes.
        if (random.nextDouble() < relativeRate(atMs)) times += atMs
    }
}
