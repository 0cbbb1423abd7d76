/*
 * Access of other threads to the control thread: they post events and read the world.
 */
package org.pomeloladder.daemon

import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import org.pomeloladder.decisions.Event
import org.pomeloladder.decisions.Inspection
import org.pomeloladder.decisions.World

private const val READ_TIMEOUT_MS = 5_000L

/** Posts events to the control thread and reads its world. */
class ControlAccess(private val sink: EventSink) : EventSink {
    override fun post(event: Event) = sink.post(event)

    /** Runs [read] on the control thread and returns its result, which must be a copy. */
    fun <T> read(read: (World) -> T): T = readWithTime { world, _ -> read(world) }

    /** Like [read], but also passes the time of the tick in milliseconds. */
    fun <T> readWithTime(read: (World, Long) -> T): T {
        val result = CompletableFuture<T>()
        sink.post(
            Inspection { world, nowMs ->
                runCatching {
                    read(world, nowMs)
                }.fold(result::complete, result::completeExceptionally)
            },
        )
        return result.get(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS)
    }
}
