/*
 * Open-loop arrivals: callers arrive whether or not earlier ones have their answers.
 */
package org.pomeloladder.bench

import kotlin.math.ln
import kotlin.random.Random

private const val MS_PER_SECOND = 1_000.0

/**
 * Times of Poisson arrivals in milliseconds from the start, below [durationMs]. The rate at time t
 * is [peakPerSecond]
 * times [share] of t, which must be from 0 to 1.
 */
fun poissonArrivals(
    random: Random,
    durationMs: Long,
    peakPerSecond: Double,
    share: (Double) -> Double = { 1.0 },
): List<Double> {
    val times = ArrayList<Double>()
    var atMs = 0.0
    while (true) {
        atMs += -ln(1 - random.nextDouble()) / peakPerSecond * MS_PER_SECOND
        if (atMs >= durationMs) return times
        // Thinning keeps the process Poisson while the rate changes.
        if (random.nextDouble() < share(atMs)) times += atMs
    }
}
