/*
 * Waits for conditions. The limit is far above what a healthy run needs, so that a busy machine
 * does not fail a test.
 */
package org.pomeloladder.bench

import java.util.concurrent.TimeUnit

private const val LIMIT_MS = 60_000L
private const val POLL_MS = 50L

/** Waits until [condition] holds. Fails with the description [what] after 60 s. */
internal fun eventually(what: String, condition: () -> Boolean) {
    val deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LIMIT_MS)
    while (!condition()) {
        check(System.nanoTime() < deadlineNanos) { "condition not met within $LIMIT_MS ms: $what" }
        Thread.sleep(POLL_MS)
    }
}
