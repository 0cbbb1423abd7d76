/*
 * A table of entities. Only the control thread accesses a table, so it needs no lock.
 */
package org.pomeloladder.decisions

/** Rows by key, iterated in the order in which their keys were first inserted. */
class Table<K : Any, V : Any> : Iterable<V> {
    private val rows = LinkedHashMap<K, V>()

    val size: Int
        get() = rows.size

    operator fun get(key: K): V? = rows[key]

    operator fun set(key: K, row: V) {
        rows[key] = row
    }

    operator fun contains(key: K): Boolean = key in rows

    /** Returns the row of [key]. If there is none, inserts the result of [create]. */
    fun getOrPut(key: K, create: () -> V): V = rows.getOrPut(key, create)

    fun remove(key: K): V? = rows.remove(key)

    /** Removes every row that satisfies [condition]. */
    fun removeIf(condition: (V) -> Boolean) {
        rows.values.removeIf(condition)
    }

    /** A live view of the keys, in iteration order. */
    val keys: Set<K>
        get() = rows.keys

    override fun iterator(): Iterator<V> = rows.values.iterator()
}
