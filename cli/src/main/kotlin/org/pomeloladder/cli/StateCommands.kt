/*
 * Commands about the running state: entry VMs, backend servers, usage, drain and explain.
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
        "Lists the entry VMs as the first answering one sees them."

    override fun helpEpilog(context: Context) = examples("pomeloladder entries")

    override fun run() {
        val body = askFirst("/v1/entries")
        if (isJson) return echoJson(body)
        val headings = listOf("VM", "DOMAIN", "REGION", "CALLERS", "LIVENESS", "HEARD", "NOTE")
        val rows = read<List<EntryStatus>>(body).map {
            val notes = listOfNotNull(
                "draining".takeIf { _ -> it.isDraining },
                "leaving".takeIf { _ -> it.isLeaving },
            )
            val region = it.region ?: "-"
            val heard = age(it.heardAgoMs)
            listOf(it.vm, it.domain, region, it.address, it.liveness, heard, notes.joinToString())
        }
        echo(table(headings, rows))
    }
}

/** Lists backend servers. */
class Backends(client: AdministrationClient) : EntryCommand("backends", client) {
    override fun help(context: Context) =
        "Lists the backend servers of the entry VMs' failure domains, each as its owner sees it."

    override fun helpEpilog(context: Context) =
        examples("pomeloladder backends", "pomeloladder backends --json")

    override fun run() {
        val answers = askAll("/v1/backends")
        if (isJson) return echoJsonOfAll(answers)
        warnOfFailures(answers)
        val rows = answers.flatMap { answered ->
            (answered.answer as? Answer.Success)
                ?.let { read<List<BackendStatus>>(it.body) }.orEmpty()
        }
        // Every entry VM of the domain lists a server; the owner's counts are the exact ones.
        val best = rows.groupBy { it.server }.values
            .map { same -> same.firstOrNull { it.isOwnedHere } ?: same.first() }
        val headings = "SERVER,DOMAIN,SERVICES,OWNER,WINDOW,IN FLIGHT,QUEUED,FIRST TOKEN,STATE"
            .split(',')
        echo(table(headings, best.map(::row)))
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
        server.ejectedForMs > 0 -> "ejected for ${age(server.ejectedForMs)}"
        server.unreachableForMs > 0 -> "unreachable"
        else -> "available"
    }
}

/** Shows usage per subscriber group. */
class Usage(client: AdministrationClient) : EntryCommand("usage", client) {
    override fun help(context: Context) =
        "Shows decayed usage per subscriber group in cost tokens, summed over the entry VMs."

    override fun helpEpilog(context: Context) = examples("pomeloladder usage")

    override fun run() {
        val answers = askAll("/v1/usage")
        if (isJson) return echoJsonOfAll(answers)
        warnOfFailures(answers)
        val rows = answers.flatMap { answered ->
            (answered.answer as? Answer.Success)
                ?.let { read<List<UsageStatus>>(it.body) }.orEmpty()
        }
        // Usage that peers report is the own usage of another entry VM and must not be counted twice.
        val groups = rows.groupBy { it.group }.map { (group, same) ->
            val cost = same.sumOf { it.ownCostTokens }.toString()
            listOf(group, cost, same.sumOf { it.requests }.toString())
        }
        echo(table(listOf("GROUP", "COST TOKENS", "REQUESTS"), groups))
    }
}

/** Starts the graceful shutdown of one process. */
class Drain(client: AdministrationClient) : EntryCommand("drain", client) {
    override fun help(context: Context) =
        "Starts the graceful shutdown of one entry process. It ends when nothing is in flight."

    override fun helpEpilog(context: Context) = examples("pomeloladder drain --entry 10.0.1.1:9090")

    override fun run() {
        if (addresses.size != 1) throw UsageError("drain takes exactly one --entry")
        val body = askFirst("/v1/drain", Method.POST)
        if (isJson) return echoJson(body)
        val answer = read<DrainResponse>(body)
        echo("${answer.vm} drains, ${answer.requestsInFlight} requests in flight")
    }
}

/** Shows why a request went where it went. */
class Explain(client: AdministrationClient) : EntryCommand("explain", client) {
    private val requestId by argument("REQUEST-ID", help = "The X-Request-Id of an answer.")

    override fun help(context: Context) =
        "Shows the decisions about a request: where it went and why, or why it was refused."

    override fun helpEpilog(context: Context) =
        examples("pomeloladder explain sk-ba-1.1764836940000.r17")

    override fun run() {
        val path = "/v1/requests/" + URLEncoder.encode(requestId, Charsets.UTF_8)
        val answers = askAll(path)
        val traces = answers.mapNotNull { answered ->
            (answered.answer as? Answer.Success)?.let { read<TraceResponse>(it.body) }
        }
        if (isJson) echoJsonOfAll(answers) else traces.forEach(::show)
        if (traces.isNotEmpty()) return
        if (!isJson) {
            // A 404 is what the line below says.
            warnOfFailures(answers.filterNot { isNotFound(it.answer) })
            echo("no entry VM that was asked remembers request $requestId", err = true)
        }
        throw ProgramResult(ExitCode.REFUSED)
    }

    private fun show(trace: TraceResponse) {
        echo("at ${trace.vm}: subscriber ${trace.subscriber}, service ${trace.service}")
        val rows = trace.steps.map {
            listOf("  ${age(it.agoMs)} ago", it.kind, it.target ?: "-", it.detail)
        }
        echo(table(listOf("  TIME", "STEP", "TARGET", "DETAIL"), rows))
    }
}

/** Names the entry VMs whose answer is missing from a table. */
private fun EntryCommand.warnOfFailures(answers: List<Answered>) = answers.forEach {
    when (val answer = it.answer) {
        is Answer.Success -> Unit
        is Answer.Refused ->
            echo("${it.address}: ${answer.status} ${answer.error.reason}", err = true)
        is Answer.None -> echo("${it.address}: no answer: ${answer.cause}", err = true)
    }
}
