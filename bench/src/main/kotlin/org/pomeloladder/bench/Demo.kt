/*
 * The demo: starts three regions on loopback, sends chat requests, sends an order twice, and
 * changes the configuration.
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
        // The daemons are separate processes and would survive a demo that a signal ends.
        val killDaemons = Thread { cluster.daemons.values.forEach(DaemonProcess::close) }
        Runtime.getRuntime().addShutdownHook(killDaemons)
        cluster.start()
        println("started ${cluster.daemons.size} entry VMs in ${REGIONS.size} regions")
        Demo(cluster).run()
        if ("--keep" in arguments) printAddressesAndWait(cluster)
    }
    println("demo finished")
    // The HTTP clients leave non-daemon threads that would keep the process alive.
    System.exit(0)
}

private fun printAddressesAndWait(cluster: Cluster) {
    println(
        "the deployment stays up until Ctrl-C. API keys: key-krabia-kiosk-1, key-krabia-staff",
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
        println("forwarded between entry VMs: ${forwardCount()}")
        check(forwardCount() > 0) { "no request was forwarded between entry VMs" }
    }

    private fun order() {
        val caller = callers.first()
        val token = checkNotNull(caller.entries().entries.first().homeToken)
        val key = "$token~demo-1"
        println("order: ${caller.order(key)}")
        println("same order again: ${caller.order(key)}")
        val executions = cluster.orderServices.values.sumOf { it.executionsOf(key) }
        println("executions of the order: $executions")
        check(executions == 1) { "the order was executed $executions times instead of once" }
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

    private fun forwardCount(): Int = cluster.daemons.values.sumOf { daemon ->
        MetricsClient(daemon.administration).counter("pomeloladder_routes_total", "peer").toInt()
    }
}
