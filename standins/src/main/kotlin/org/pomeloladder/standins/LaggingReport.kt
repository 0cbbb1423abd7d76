/*
 * A load report that is out of date by a fixed time.
 */
package org.pomeloladder.standins

private const val NANOS_PER_MS = 1_000_000L

/** Makes each recorded value visible after a delay of [lagMs]. */
internal class LaggingReport(private val lagMs: Long) {
    private val values = ArrayDeque<Pair<Long, Int>>()
    private var visible = 0

    @Synchronized
    fun record(value: Int) = values.addLast(System.nanoTime() to value)

    @Synchronized
    fun current(): Int {
        val cutoffNanos = System.nanoTime() - lagMs * NANOS_PER_MS
        while (values.isNotEmpty() && values.first().first <= cutoffNanos) {
            visible = values.removeFirst().second
        }
        return visible
    }
}
