/*
 * Log events and metrics of the decisions. The daemon passes them to its logging and metrics
 * libraries; tests collect them.
 */
package org.pomeloladder.decisions

/** Receives log events and metrics. Called on the control thread, so it must not block. */
interface Journal {
    fun log(event: LogEvent, details: Map<String, Any?> = emptyMap())

    /** Adds [amount] to [counter]. [reason] is a label value and must come from a bounded set. */
    fun count(counter: Counter, reason: String, amount: Long = 1)

    /** Records one observation of [durationMs] for [latency]. */
    fun observe(latency: Latency, durationMs: Long) = Unit
}

/** Latencies of callers' requests, and the delays that this process itself causes. */
enum class Latency(val metricName: String, val help: String) {
    FIRST_TOKEN("pomeloladder_first_token_seconds", "Time from arrival to the first token"),
    REQUEST("pomeloladder_request_seconds", "Time from arrival to the end of the answer"),
    EVENT_GAP("pomeloladder_event_gap_seconds", "Time between events of a stream on arrival"),
    TRAFFIC_DELAY("pomeloladder_traffic_delay_seconds", "Delay of tasks of the traffic thread"),
    CONTROL_DELAY("pomeloladder_control_delay_seconds", "Wait of events for the control thread"),
}

/** Discards all log events and metrics. */
object NoJournal : Journal {
    override fun log(event: LogEvent, details: Map<String, Any?>) = Unit

    override fun count(counter: Counter, reason: String, amount: Long) = Unit
}

/** Counters of the decisions. Label values are reason codes, never ids. */
enum class Counter(val metricName: String, val help: String) {
    REQUESTS("pomeloladder_requests", "Requests by final outcome"),
    REFUSALS("pomeloladder_refusals", "Refused requests by reason"),
    RETRIES("pomeloladder_retries", "Repeated attempts by reason"),
    HEDGES("pomeloladder_hedges", "Hedged attempts by result"),
    ORDERS("pomeloladder_orders", "Orders by result"),
    ROUTES("pomeloladder_routes", "Chosen routes by kind"),
    CONFIG_ENTRIES("pomeloladder_config_entries", "Configuration entries by verdict"),
    MEMBERSHIP("pomeloladder_membership_changes", "Membership changes by kind"),
    EJECTIONS("pomeloladder_outlier_ejections", "Backend servers taken out of routing by reason"),
    ENGINE_ORDERS("pomeloladder_engine_orders", "Engine orders by result"),
    QUARANTINE("pomeloladder_quarantine", "Crashes and quarantined prompt parts by event"),
    PAUSES("pomeloladder_pauses", "Detected pauses of this process"),
    LOG_LINES_DROPPED("pomeloladder_log_lines_dropped", "Log lines dropped, by reason"),
}
