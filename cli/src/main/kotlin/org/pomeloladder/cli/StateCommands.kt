/*
 * Commands about the running system: entry VMs, backend servers, usage, graceful shutdown and
 * request traces.
 */
package org.pomeloladder.cli

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.arguments.argument
import java.net.URLEncoder
import org.http4k.core.Method
import org.pomeloladder.daemon.BackendStatus
import org.pomeloladder.daemon.DrainResponse
import org.pomeloladder.daemon.EntryStatus
import org.pomeloladder.daemon.TraceResponse
import org.pomeloladder.daemon.UsageStatus

/** Lists entry VMs. */
class Entries(client: AdministrationClient) : EntryCommand("entries", client) {
    override fun help(context: Context) =
        "Lists the entry VMs as seen by the first one that answers."

    override fun helpEpilog(context: Context) = examples("pomeloladder entries")

    override fun run() {
        val body = sendUntilAnswered("/v1/entries")
        if (isJson) return echoJson(body)
        val headings = listOf("VM", "DOMAIN", "REGION", "CALLERS", "LIVENESS", "HEARD", "NOTE")
        val rows = decode<List<EntryStatus>>(body).map {
            val notes = listOfNotNull(
                "draining".takeIf { _ -> it.isDraining },
                "leaving".takeIf { _ -> it.isLeaving },
            )
            val region = it.region ?: "-"
            val sinceHeartbeat = formatDuration(it.heardAgoMs)
            listOf(
                it.vm,
                it.domain,
                region,
                it.address,
                it.liveness,
                sinceHeartbeat,
                notes.joinToString(),
            )
        }
        echo(table(headings, rows))
    }
}

/** Lists backend servers. */
class Backends(client: AdministrationClient) : EntryCommand("backends", client) {
    override fun help(context: Context) =
        "Lists the backend servers of the entry VMs' failure domains, as reported by their owners."

    override fun helpEpilog(context: Context) =
        examples("pomeloladder backends", "pomeloladder backends --json")

    override fun run() {
        val answers = getFromAll("/v1/backends")
        if (isJson) return echoAllAsJson(answers)
        warnAboutFailures(answers)
        val rows = answers.flatMap { entryAnswer ->
            (entryAnswer.answer as? Answer.Success)
                ?.let { decode<List<BackendStatus>>(it.body) }.orEmpty()
        }
        // Every entry VM of a failure domain lists all its servers; only the owner's counts are
        // exact.
        val uniqueServers = rows.groupBy { it.server }.values
            .map { duplicates -> duplicates.firstOrNull { it.isOwnedHere } ?: duplicates.first() }
        val headings = "SERVER,DOMAIN,SERVICES,OWNER,WINDOW,IN FLIGHT,QUEUED,FIRST TOKEN,STATE"
            .split(',')
        echo(table(headings, uniqueServers.map(::row)))
    }

    private fun row(server: BackendStatus) = listOf(
        server.server,
        server.domain,
        server.services.joinToString(","),
        server.owner ?: "-",
        "${server.window}/${server.concurrency}",
        server.inFlight.toString(),
        server.queued.toString(),
        if (server.firstTokenMs == 0L) "-" else "${server.firstTokenMs} ms",
        stateOf(server),
    )

    private fun stateOf(server: BackendStatus): String = when {
        server.isLeaving -> "leaving"
        server.ejectedForMs > 0 -> "ejected for ${formatDuration(server.ejectedForMs)}"
        server.unreachableForMs > 0 -> "unreachable"
        else -> "available"
    }
}

/** Shows the usage of each subscriber group. */
class Usage(client: AdministrationClient) : EntryCommand("usage", client) {
    override fun help(context: Context) =
        "Shows decayed usage per subscriber group in cost tokens, summed over the entry VMs."

    override fun helpEpilog(context: Context) = examples("pomeloladder usage")

    override fun run() {
        val answers = getFromAll("/v1/usage")
        if (isJson) return echoAllAsJson(answers)
        warnAboutFailures(answers)
        val rows = answers.flatMap { entryAnswer ->
            (entryAnswer.answer as? Answer.Success)
                ?.let { decode<List<UsageStatus>>(it.body) }.orEmpty()
        }
        // Peer usage is left out: each entry VM reports its own, so adding both would count it
        // twice.
        val groups = rows.groupBy { it.group }.map { (group, reports) ->
            val cost = reports.sumOf { it.ownCostTokens }.toString()
            listOf(group, cost, reports.sumOf { it.requests }.toString())
        }
        echo(table(listOf("GROUP", "COST TOKENS", "REQUESTS"), groups))
    }
}

/** Starts the graceful shutdown of one entry process. */
class Drain(client: AdministrationClient) : EntryCommand("drain", client) {
    override fun help(context: Context) =
        "Starts the graceful shutdown of one entry process, which exits when nothing is in flight."

    override fun helpEpilog(context: Context) = examples("pomeloladder drain --entry 10.0.1.1:9090")

    override fun run() {
        if (addresses.size != 1) throw UsageError("drain requires exactly one --entry")
        val body = sendUntilAnswered("/v1/drain", Method.POST)
        if (isJson) return echoJson(body)
        val answer = decode<DrainResponse>(body)
        echo("${answer.vm} is draining, ${answer.requestsInFlight} requests in flight")
    }
}

/** Shows how a request was routed, or why it was refused. */
class Explain(client: AdministrationClient) : EntryCommand("explain", client) {
    private val requestId by argument("REQUEST-ID", help = "The X-Request-Id of a response.")

    override fun help(context: Context) =
        "Shows where a request was routed and why, or why it was refused."

    override fun helpEpilog(context: Context) =
        examples("pomeloladder explain sk-ba-1.1764836940000.r17")

    override fun run() {
        val path = "/v1/requests/" + URLEncoder.encode(requestId, Charsets.UTF_8)
        val answers = getFromAll(path)
        val traces = answers.mapNotNull { entryAnswer ->
            (entryAnswer.answer as? Answer.Success)?.let { decode<TraceResponse>(it.body) }
        }
        if (isJson) echoAllAsJson(answers) else traces.forEach(::echoTrace)
        if (traces.isNotEmpty()) return
        if (!isJson) {
            // The message below covers the 404 responses.
            warnAboutFailures(answers.filterNot { isNotFound(it.answer) })
            echo("none of the queried entry VMs has a trace of request $requestId", err = true)
        }
        throw ProgramResult(ExitCode.ERROR_RESPONSE)
    }

    private fun echoTrace(trace: TraceResponse) {
        echo("at ${trace.vm}: subscriber ${trace.subscriber}, service ${trace.service}")
        val rows = trace.steps.map {
            listOf("  ${formatDuration(it.agoMs)} ago", it.kind, it.target ?: "-", it.detail)
        }
        echo(table(listOf("  TIME", "STEP", "TARGET", "DETAIL"), rows))
    }
}

/** Prints a warning for each entry VM whose data is missing from the table. */
private fun EntryCommand.warnAboutFailures(answers: List<EntryAnswer>) = answers.forEach {
    when (val answer = it.answer) {
        is Answer.Success -> Unit
        is Answer.Failure ->
            echo("${it.address}: ${answer.status} ${answer.error.reason}", err = true)
        is Answer.Unavailable -> echo("${it.address}: no answer: ${answer.cause}", err = true)
    }
}
