/*
 * A load report that shows what was true some time ago.
 */
package org.pomeloladder.standins

private const val NANOS_PER_MS = 1_000_000L

/** Values become visible [lagMs] after they were recorded. */
internal class LaggingReport(private val lagMs: Long) {
    private val values = ArrayDeque<Pair<Long, Int>>()
    private var visible = 0

    @Synchronized
    fun record(value: Int) = values.addLast(System.nanoTime() to value)

    @Synchronized
    fun current(): Int {
        val before = System.nanoTime() - lagMs * NANOS_PER_MS
        while (values.isNotEmpty() && values.first().first <= before) {
            visible = values.removeFirst().second
        }
        return visible
    }
}
