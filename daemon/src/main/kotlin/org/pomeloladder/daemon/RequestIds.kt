/*
 * Ids of callers' requests: unique across processes by VM and incarnation, and across one process by a counter.
 */
package org.pomeloladder.daemon

import java.util.concurrent.atomic.AtomicLong
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.Incarnation
import org.pomeloladder.decisions.RequestId

/** Gives out request ids. */
class RequestIds(private val vm: VmId, private val incarnation: Incarnation) {
    private val counter = AtomicLong()

    fun next() = RequestId("$vm.$incarnation.r${counter.incrementAndGet()}")
}
