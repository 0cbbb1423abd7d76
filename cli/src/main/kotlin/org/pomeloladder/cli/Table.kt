/*
 * Tables for people: a line of headings and aligned columns.
 */
package org.pomeloladder.cli

private const val GAP = "  "
private const val MS_PER_SECOND = 1_000L
private const val MS_PER_MINUTE = 60_000L

/** [rows] below [headings], each column as wide as its longest cell. */
internal fun table(headings: List<String>, rows: List<List<String>>): String {
    val lines = listOf(headings) + rows
    val widths = headings.indices.map { column -> lines.maxOf { it[column].length } }
    return lines.joinToString("\n") { line ->
        line.mapIndexed { column, cell -> cell.padEnd(widths[column]) }
            .joinToString(GAP).trimEnd()
    }
}

/** A duration for people. */
internal fun age(ms: Long): String = when {
    ms < MS_PER_SECOND -> "$ms ms"
    ms < 2 * MS_PER_MINUTE -> "${ms / MS_PER_SECOND} s"
    else -> "${ms / MS_PER_MINUTE} min"
}
