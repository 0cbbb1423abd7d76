/*
 * Request ids. The VM and the incarnation make them unique among processes, a counter within one.
 */
package org.pomeloladder.daemon

import java.util.concurrent.atomic.AtomicLong
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.Incarnation
import org.pomeloladder.decisions.RequestId

/** Generates request ids. */
class RequestIds(private val vm: VmId, private val incarnation: Incarnation) {
    private val counter = AtomicLong()

    fun next() = RequestId("$vm.$incarnation.r${counter.incrementAndGet()}")
}
