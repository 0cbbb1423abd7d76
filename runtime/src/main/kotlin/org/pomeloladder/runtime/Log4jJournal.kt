/*
 * Writes log events with Log4j 2 and counts with the Prometheus client.
 */
package org.pomeloladder.runtime

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.message.StringMapMessage
import org.pomeloladder.decisions.Counter
import org.pomeloladder.decisions.Journal
import org.pomeloladder.decisions.Latency
import org.pomeloladder.decisions.LogEvent
import org.pomeloladder.decisions.Severity

/** The journal of production. */
class Log4jJournal(private val metrics: Metrics) : Journal {
    private val logger = LogManager.getLogger("pomeloladder")

    override fun log(event: LogEvent, details: Map<String, Any?>) {
        val message = StringMapMessage()
        message.put("event", event.number.toString())
        message.put("text", event.text)
        details.forEach { (name, value) -> message.put(name, value.toString()) }
        logger.log(levelOf(event.severity), message)
    }

    override fun count(counter: Counter, reason: String, amount: Long) =
        metrics.count(counter, reason, amount)

    override fun observe(latency: Latency, durationMs: Long) = metrics.observe(latency, durationMs)

    private fun levelOf(severity: Severity) = when (severity) {
        Severity.INFO -> Level.INFO
        Severity.WARN -> Level.WARN
        Severity.ERROR -> Level.ERROR
    }
}
