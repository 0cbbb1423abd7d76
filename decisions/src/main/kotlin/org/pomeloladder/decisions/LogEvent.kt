/*
 * The log events. The meaning of a number never changes. docs/events.md explains them to operators,
 * and a test compares that page with this list.
 */
package org.pomeloladder.decisions

/** Severity of a log event. */
enum class Severity { INFO, WARN, ERROR }

/**
 * A numbered log event. The hundreds digit gives the area: 1 process, 2 configuration,
 * 3 membership, 4 traffic, 5 orders, 6 engine orders.
 */
enum class LogEvent(val number: Int, val severity: Severity, val text: String) {
    STARTED(100, Severity.INFO, "entry process started"),
    DRAINING(101, Severity.INFO, "graceful shutdown started"),
    STOPPED(102, Severity.INFO, "entry process stopped"),
    PAUSE_DETECTED(103, Severity.WARN, "control thread did not run for a while"),
    INVARIANT_BROKEN(104, Severity.ERROR, "internal invariant broken, process stops"),
    SETTINGS_REFUSED(105, Severity.ERROR, "settings are not valid"),
    READY(106, Severity.INFO, "entry process serves callers"),
    SETTINGS_RELOADED(107, Severity.INFO, "settings read again"),
    THREADS_LATE(108, Severity.WARN, "a thread ran late"),
    PORT_NOT_OPENED(109, Severity.ERROR, "port cannot be opened, process stops"),
    INTERNAL_ERROR(110, Severity.ERROR, "internal error, part of a tick was dropped"),
    CONFIG_IN_FORCE(200, Severity.INFO, "configuration in force"),
    CONFIG_REFUSED(201, Severity.WARN, "configuration entry refused"),
    CONFIG_DIVERGED(202, Severity.ERROR, "configuration digest differs at the same position"),
    CONFIG_OLDER_IGNORED(203, Severity.WARN, "older configuration ignored"),
    PLATFORM_UNREACHABLE(204, Severity.WARN, "platform service does not answer"),
    PLATFORM_REACHABLE(205, Severity.INFO, "platform service answers again"),
    PEER_VIEW_MISSING(206, Severity.WARN, "view of a peer not received"),
    CONFIG_UNREADABLE(207, Severity.ERROR, "published configuration cannot be decoded"),
    PLATFORM_RESTORED(208, Severity.WARN, "platform came back from an older copy"),
    VM_SUSPECTED(300, Severity.WARN, "entry VM suspected"),
    VM_LIVE(301, Severity.INFO, "entry VM live"),
    VM_DEAD(302, Severity.WARN, "entry VM considered dead"),
    PEER_REFUSED(303, Severity.WARN, "peer connection refused"),
    OWNER_CHANGED(304, Severity.INFO, "owner of a backend server changed"),
    DOMAIN_UNREACHABLE(305, Severity.WARN, "failure domain unreachable"),
    DOMAIN_REACHABLE(306, Severity.INFO, "failure domain reachable again"),
    BACKEND_LEAVING(307, Severity.INFO, "backend server leaving"),
    VM_UNLINKED(308, Severity.INFO, "link to an entry VM of another region given up"),
    BACKEND_EJECTED(400, Severity.WARN, "backend server ejected as outlier"),
    BACKEND_RETURNED(401, Severity.INFO, "backend server returned to routing"),
    BACKEND_UNREACHABLE(402, Severity.WARN, "backend server refused the connection"),
    BACKEND_ADDED(403, Severity.INFO, "backend server added"),
    BACKEND_GONE(404, Severity.INFO, "backend server gone"),
    BACKEND_SILENT(405, Severity.WARN, "backend server went silent"),
    DOMAIN_EVACUATED(406, Severity.INFO, "failure domain evacuated"),
    BACKEND_CRASHED(407, Severity.WARN, "backend server crashed as it began to answer"),
    CALL_SENT(410, Severity.INFO, "call sent"),
    SEND_ENDED(411, Severity.INFO, "send ended"),
    CALL_REFUSED(412, Severity.WARN, "call refused"),
    CALLER_LEFT(413, Severity.INFO, "caller left"),
    PART_QUARANTINED(414, Severity.WARN, "prompt part quarantined"),
    PART_RELEASED(415, Severity.INFO, "prompt part released from quarantine"),
    PART_PROBED(416, Severity.INFO, "quarantined prompt part sent once as a test"),
    BACKEND_LIMITED(417, Severity.WARN, "backend server named a limit"),
    BACKEND_UNLIMITED(418, Severity.INFO, "limit of a backend server ended"),
    BACKEND_DOUBTED(419, Severity.INFO, "backend server may have started again"),
    BACKEND_PROVEN(420, Severity.INFO, "backend server answered its health check"),
    BACKEND_SAID_LEAVING(421, Severity.INFO, "backend server said that it leaves"),
    BACKEND_HEADER_UNREADABLE(422, Severity.WARN, "header of a backend server ignored"),
    ORDER_UNKNOWN(500, Severity.WARN, "outcome of an order is unknown"),
    ORDER_WITHDRAWN(501, Severity.INFO, "order withdrawn before dispatch"),
    ENGINE_ORDER_SENT(600, Severity.INFO, "engine order sent"),
    ENGINE_ORDER_REFUSED(601, Severity.WARN, "engine order refused"),
}
