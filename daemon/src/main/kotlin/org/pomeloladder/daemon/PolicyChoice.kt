/*
 * Selects the policies that the settings name.
 */
package org.pomeloladder.daemon

import org.pomeloladder.decisions.FifoQueue
import org.pomeloladder.decisions.LeastReportedLoadRoutePolicy
import org.pomeloladder.decisions.NoHedgePolicy
import org.pomeloladder.decisions.NoOutlierPolicy
import org.pomeloladder.decisions.Policies
import org.pomeloladder.decisions.QueuePolicy
import org.pomeloladder.decisions.RandomRoutePolicy
import org.pomeloladder.decisions.policies

/** Returns the policies for [names]. Any other name selects the production default. */
internal fun policiesFor(names: PolicyNames): Policies = policies {
    when (names.route) {
        "random" -> route = RandomRoutePolicy()
        "least-reported-load" -> route = LeastReportedLoadRoutePolicy()
    }
    if (names.queue == "first-come") queue = QueuePolicy(::FifoQueue)
    if (!names.hedges) hedge = NoHedgePolicy
    if (!names.outliers) outlier = NoOutlierPolicy
}
