/*
 * Maps the policy names of the settings to policies.
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

/**
 * The policies that [names] ask for. Names without an entry here take the default of production.
 */
internal fun chosenPolicies(names: PolicyNames): Policies = policies {
    when (names.route) {
        "random" -> route = RandomRoutePolicy()
        "least-reported-load" -> route = LeastReportedLoadRoutePolicy()
    }
    if (names.queue == "first-come") queue = QueuePolicy(::FifoQueue)
    if (!names.hedges) hedge = NoHedgePolicy
    if (!names.outliers) outlier = NoOutlierPolicy
}
