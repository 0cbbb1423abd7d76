/*
 * Plain-text output: tables with aligned columns, and durations.
 */
package org.pomeloladder.cli

private const val COLUMN_SEPARATOR = "  "
private const val MS_PER_SECOND = 1_000L
private const val MS_PER_MINUTE = 60_000L

/** Formats [rows] below [headings], with each column as wide as its longest cell. */
internal fun table(headings: List<String>, rows: List<List<String>>): String {
    val lines = listOf(headings) + rows
    val widths = headings.indices.map { column -> lines.maxOf { it[column].length } }
    return lines.joinToString("\n") { line ->
        line.mapIndexed { column, cell -> cell.padEnd(widths[column]) }
            .joinToString(COLUMN_SEPARATOR).trimEnd()
    }
}

/** Formats a duration in milliseconds, whole seconds or whole minutes. */
internal fun formatDuration(ms: Long): String = when {
    ms < MS_PER_SECOND -> "$ms ms"
    ms < 2 * MS_PER_MINUTE -> "${ms / MS_PER_SECOND} s"
    else -> "${ms / MS_PER_MINUTE} min"
}
