/*
 * The sends of this process to one backend server within the window of the limit for cold servers.
 * All are counted, because a server may be cold for some time before this process learns of it.
 */
package org.pomeloladder.gateway

/** Longer than the second of the limit, because sends arrive with different delays. */
private const val WINDOW_MS = 1_150L

/** Sends with their times, the oldest first. */
class RecentSends {
    private class Entry(val send: SendId, val atMs: Long)

    private val entries = ArrayDeque<Entry>()

    fun add(send: SendId, nowMs: Long) {
        dropOld(nowMs)
        entries.addLast(Entry(send, nowMs))
    }

    /** Removes [send], which did not reach the server. */
    fun remove(send: SendId) {
        entries.removeIf { it.send == send }
    }

    /** Returns the number of sends within the window that ends at [nowMs]. */
    fun count(nowMs: Long): Int {
        dropOld(nowMs)
        return entries.size
    }

    private fun dropOld(nowMs: Long) {
        while (entries.isNotEmpty() && entries.first().atMs <= nowMs - WINDOW_MS) {
            entries.removeFirst()
        }
    }
}
