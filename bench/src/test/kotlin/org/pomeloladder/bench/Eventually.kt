/*
 * Waiting for conditions. Limits are far above what a healthy run needs, so that a busy machine does not change the
 * verdict.
 */
package org.pomeloladder.bench

import java.util.concurrent.TimeUnit

private const val LIMIT_MS = 60_000L
private const val POLL_MS = 50L

/** Waits until [condition] holds; fails with [what] after a generous limit. */
internal fun eventually(what: String, condition: () -> Boolean) {
    val until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LIMIT_MS)
    while (!condition()) {
        check(System.nanoTime() < until) { "not within $LIMIT_MS ms: $what" }
        Thread.sleep(POLL_MS)
    }
}
