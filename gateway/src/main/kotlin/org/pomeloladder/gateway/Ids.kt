/*
 * Identifiers of the route gateway: routes, calls, sends and parts of prompts.
 */
package org.pomeloladder.gateway

import kotlinx.serialization.Serializable

/** One route of the catalog. */
@Serializable
@JvmInline
value class RouteId(val value: String) {
    override fun toString() = value
}

/** One call of a caller or a peer at this process. Never reused within a run of the process. */
@JvmInline
value class CallId(val value: Long) {
    override fun toString() = value.toString()
}

/** One try to have a call served by a backend server or by a peer. */
@JvmInline
value class SendId(val value: Long) {
    override fun toString() = value.toString()
}

/** A part of a prompt that several requests may share. */
@Serializable
@JvmInline
value class PartId(val value: Long) {
    override fun toString() = value.toULong().toString(HEX)

    private companion object {
        const val HEX = 16
    }
}
