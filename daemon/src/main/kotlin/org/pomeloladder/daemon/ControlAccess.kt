/*
 * What traffic threads may ask of the control thread: post events, and read the world through an inspection.
 */
package org.pomeloladder.daemon

import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import org.pomeloladder.decisions.Event
import org.pomeloladder.decisions.Inspection
import org.pomeloladder.decisions.World

private const val READ_TIMEOUT_MS = 5_000L

/** Posts events and reads the world. */
class ControlAccess(private val sink: EventSink) : EventSink {
    override fun post(event: Event) = sink.post(event)

    /** Runs [read] on the control thread and waits for its result. [read] must copy what it returns. */
    fun <T> read(read: (World) -> T): T = readAt { world, _ -> read(world) }

    /** As [read], with the time of the tick in milliseconds. */
    fun <T> readAt(read: (World, Long) -> T): T {
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
