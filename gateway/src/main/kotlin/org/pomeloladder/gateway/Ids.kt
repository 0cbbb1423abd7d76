/*
 * Identifiers of routes, calls, sends, parts of prompts and crashes.
 */
package org.pomeloladder.gateway

import kotlinx.serialization.Serializable

/** Identifies a route of the catalog. */
@Serializable
@JvmInline
value class RouteId(val value: String) {
    override fun toString() = value
}

/** Identifies a call of a caller or a peer at this process. Not reused while the process runs. */
@JvmInline
value class CallId(val value: Long) {
    override fun toString() = value.toString()
}

/** Identifies one attempt to have a call served by a backend server or a peer. */
@JvmInline
value class SendId(val value: Long) {
    override fun toString() = value.toString()
}

/** Version of the software of a backend server. */
@Serializable
@JvmInline
value class SoftwareVersion(val value: String) {
    override fun toString() = value
}

/** Identifies a part of a prompt. Several requests may share a part. */
@Serializable
@JvmInline
value class PartId(val value: Long) {
    override fun toString() = value.toULong().toString(HEX)

    private companion object {
        const val HEX = 16
    }
}

/** Identifies the crash of one incarnation of a backend server, for all processes alike. */
@Serializable
@JvmInline
value class CrashId(val value: Long) {
    override fun toString() = value.toULong().toString(HEX)

    private companion object {
        const val HEX = 16
    }
}
