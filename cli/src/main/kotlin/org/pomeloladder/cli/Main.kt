/*
 * The operators' command-line tool.
 */
package org.pomeloladder.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main

/** The root command; subcommands do the work. */
class Pomeloladder : CliktCommand(name = "pomeloladder") {
    override fun run() = Unit
}

fun main(arguments: Array<String>) = Pomeloladder().main(arguments)
