/*
 * A table of entities. Systems look rows up by id, scan them, and remove them; only the control thread touches a table,
 * so it needs no lock.
 */
package org.pomeloladder.decisions

/** Rows by key, iterated in the order in which the keys were first put. */
class Table<K : Any, V : Any> : Iterable<V> {
    private val rows = LinkedHashMap<K, V>()

    val size: Int
        get() = rows.size

    operator fun get(key: K): V? = rows[key]

    operator fun set(key: K, row: V) {
        rows[key] = row
    }

    operator fun contains(key: K): Boolean = key in rows

    /** The row of [key], created by [create] when there is none. */
    fun getOrPut(key: K, create: () -> V): V = rows.getOrPut(key, create)

    fun remove(key: K): V? = rows.remove(key)

    /** Removes every row for which [condition] holds. */
    fun removeIf(condition: (V) -> Boolean) {
        rows.values.removeIf(condition)
    }

    /** Keys in iteration order. The view changes with the table. */
    val keys: Set<K>
        get() = rows.keys

    override fun iterator(): Iterator<V> = rows.values.iterator()
}
