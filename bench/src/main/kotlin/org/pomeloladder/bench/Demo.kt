/*
 * The demo: a deployment of three regions on loopback, a streamed chat request, an order with its repeat, and a
 * configuration change.
 */
package org.pomeloladder.bench

import org.pomeloladder.configuration.Change
import org.pomeloladder.configuration.Patch
import org.pomeloladder.configuration.SubscriberGroupId

private val REGIONS = listOf("bratislava", "zilina", "kosice")

fun main(arguments: Array<String>) {
    val spec = clusterSpec {
        REGIONS.forEach { domain(it, "$it-a") }
        subscriber("krabia-kiosk-1", REGIONS)
        subscriber("krabia-staff", listOf("bratislava"))
    }
    Cluster(spec).use { cluster ->
        // The daemons are processes of their own and outlive a demo that is ended by a signal.
        val end = Thread { cluster.daemons.values.forEach(DaemonProcess::close) }
        Runtime.getRuntime().addShutdownHook(end)
        cluster.start()
        println("started ${cluster.daemons.size} entry VMs in ${REGIONS.size} regions")
        Demo(cluster).run()
        if ("--keep" in arguments) keep(cluster)
    }
    println("demo finished")
    // The HTTP clients keep threads that would hold the process.
    System.exit(0)
}

private fun keep(cluster: Cluster) {
    println(
        "the deployment stays up; end it with Ctrl-C. Subscribers: key-krabia-kiosk-1, key-krabia-staff",
    )
    println("  export POMELOLADDER_KEY=$ADMINISTRATION_KEY")
    val addresses = cluster.daemons.values.joinToString(",") { it.administration.toString() }
    println("  export POMELOLADDER_ENTRIES=$addresses")
    cluster.daemons.values.forEach { daemon ->
        println(
            "  ${daemon.record.id}: callers ${daemon.record.callerAddress}, administration ${daemon.administration}",
        )
    }
    Thread.currentThread().join()
}

private class Demo(private val cluster: Cluster) {
    private val callers = cluster.daemons.values.map {
        CallerClient(it.record.callerAddress, "key-krabia-kiosk-1")
    }

    fun run() {
        chat()
        order()
        configure()
    }

    private fun chat() {
        val first = callers.first()
        println("directory: " + first.entries().entries.joinToString { it.vm })
        callers.forEach { caller ->
            val answer = caller.chat("What is in the crab roll?", maxTokens = 8)
            println("chat through ${caller.address}: $answer")
        }
        println("forwarded between entry VMs: ${forwards()}")
        check(forwards() > 0) { "no request crossed two entry VMs" }
    }

    private fun order() {
        val caller = callers.first()
        val token = checkNotNull(caller.entries().entries.first().homeToken)
        val key = "$token~demo-1"
        println("order: ${caller.order(key)}")
        println("repeat of the order: ${caller.order(key)}")
        val executions = cluster.orderServices.values.sumOf { it.executionsOf(key) }
        println("executions of the order: $executions")
        check(executions == 1) { "the order ran $executions times" }
    }

    private fun configure() {
        val before = cluster.platform.inForce
        val id = SubscriberGroupId("krabia-staff")
        val group = before.configuration.groups.getValue(id)
        val patch = Patch(before.version, listOf(Change.PutGroup(id, group.copy(weight = 2))))
        val sequence = cluster.platform.publish(patch)
        println(
            "configuration entry $sequence published, version ${cluster.platform.inForce.version}",
        )
    }

    private fun forwards(): Int = cluster.daemons.values.sumOf { daemon ->
        MetricsClient(daemon.administration).value("pomeloladder_routes_total", "peer").toInt()
    }
}
