/*
 * The HTTP API for callers: the entry directory, chat completions, plain services and orders. It
 * authenticates the caller, reads and validates the body, and posts a typed request to the control
 * thread, which makes all further decisions.
 */
package org.pomeloladder.daemon

import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.JsonObject
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes
import org.pomeloladder.configuration.ConfigSnapshot
import org.pomeloladder.configuration.Service
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.SubscriberId
import org.pomeloladder.decisions.CallerDisconnected
import org.pomeloladder.decisions.DIRECTORY_VALIDITY_MS
import org.pomeloladder.decisions.OrderCall
import org.pomeloladder.decisions.OrderKey
import org.pomeloladder.decisions.PrefixKey
import org.pomeloladder.decisions.Refusal
import org.pomeloladder.decisions.RefusalReason
import org.pomeloladder.decisions.RequestArrived
import org.pomeloladder.decisions.RequestSpec
import org.pomeloladder.decisions.RunState
import org.pomeloladder.decisions.entryDirectory
import org.pomeloladder.decisions.hashKey
import org.pomeloladder.decisions.ownHomeToken
import org.pomeloladder.peer.ResponsePart

/** Estimated output tokens of a request without `max_tokens`. */
private const val DEFAULT_OUTPUT_TOKENS = 256
private const val MAX_OUTPUT_TOKENS = 32_768

/** Estimated characters of prompt text per token, used until the engine reports the exact count. */
private const val CHARACTERS_PER_TOKEN = 4

/**
 * A first message of at least this length is assumed to be a system prompt or document that many
 * requests share. It then forms the prefix key alone.
 */
private const val SHARED_PREFIX_CHARACTERS = 512

/** Cost in tokens of one call of a plain service, for fair sharing. */
private const val PLAIN_COST_TOKENS = 1

/** Time past the deadline for which a caller's thread still waits for a response or a refusal. */
private const val RESPONSE_GRACE_MS = 5_000L

/** Serves the HTTP API for callers. */
class CallerApi(
    private val traffic: TrafficPlane,
    private val control: ControlAccess,
    private val requestIds: RequestIds,
    private val limits: Limits,
) {
    private val subscribers = SubscriberIndex()

    /** All routes of the caller listener. */
    fun handler(): HttpHandler = routes(
        "/v1/entries" bind Method.GET to ::entries,
        "/v1/chat/completions" bind Method.POST to ::chat,
        "/v1/services/{service}" bind Method.POST to ::callService,
        "/v1/orders" bind Method.POST to ::runOrder,
        "/v1/orders/{key}" bind Method.GET to { orderCall(it, OrderCall.LOOK_UP) },
        "/v1/orders/{key}" bind Method.DELETE to { orderCall(it, OrderCall.WITHDRAW) },
        "/healthz" bind Method.GET to { Response(Status.OK).body("ok\n") },
        "/readyz" bind Method.GET to ::ready,
    )

    private fun ready(@Suppress("UNUSED_PARAMETER") request: Request): Response {
        if (traffic.view.isReady) return Response(Status.OK).body("ready\n")
        return Refusal(RefusalReason.NOT_READY, retryAfterMs = 500).toResponse()
    }

    private fun entries(request: Request): Response = authenticated(request) { caller ->
        val listed = control.read { world -> world.entryDirectory(caller.subscriber) }
        val entries = listed.map {
            EntryListItem(it.vm.value, it.address.toString(), it.homeToken?.toString())
        }
        json(daemonJson.encodeToString(EntryListResponse(DIRECTORY_VALIDITY_MS, entries)))
    }

    private fun chat(request: Request): Response = authenticated(request) { caller ->
        val bytes = request.readBody(limits.maxBodyBytes) ?: return@authenticated tooLarge()
        val chat = try {
            daemonJson.decodeFromString<ChatRequest>(bytes.decodeToString())
        } catch (e: SerializationException) {
            return@authenticated badRequest("body is not a chat request: ${e.firstLine()}")
        }
        chat.problem()?.let { return@authenticated badRequest(it) }
        if (caller.serviceOf(ServiceId(chat.model)) is Service.Plain) {
            return@authenticated badRequest("${chat.model} is not a model")
        }
        val spec = chatSpec(request, caller, chat)
        val exchange = CallerExchange(spec.id, bytes, control)
        start(exchange, spec)
        respondToChat(exchange, spec, chat)
    }

    private fun ChatRequest.problem(): String? = when {
        messages.isEmpty() -> "messages must not be empty"
        maxTokens != null && maxTokens !in 1..MAX_OUTPUT_TOKENS ->
            "max_tokens must be from 1 to $MAX_OUTPUT_TOKENS, found $maxTokens"
        else -> null
    }

    private fun chatSpec(request: Request, caller: Caller, chat: ChatRequest): RequestSpec {
        val characters = chat.messages.sumOf { it.content.length }
        val firstMessage = chat.messages.first().content
        val prefix = when {
            firstMessage.length >= SHARED_PREFIX_CHARACTERS -> firstMessage
            else -> chat.messages.take(2).joinToString("\n") { it.content }
        }
        return RequestSpec(
            id = requestIds.next(),
            subscriber = caller.subscriber,
            service = ServiceId(chat.model),
            promptTokens = characters / CHARACTERS_PER_TOKEN + 1,
            maxOutputTokens = chat.maxTokens ?: DEFAULT_OUTPUT_TOKENS,
            prefix = PrefixKey(hashKey(chat.model + "\n" + prefix)),
            budgetMs = request.deadlineMs() ?: caller.deadlineMs,
            sequence = caller.snapshot.sequence,
        )
    }

    private fun respondToChat(
        exchange: CallerExchange,
        spec: RequestSpec,
        chat: ChatRequest,
    ): Response {
        val encoder = ChatEncoder(spec.id, chat.model)
        if (chat.stream) {
            return when (val firstItem = exchange.next(spec.budgetMs + RESPONSE_GRACE_MS)) {
                is ExchangeItem.Refused -> respondToRefusal(exchange, spec, firstItem.refusal)
                else -> streamResponse(exchange, spec, encoder, firstItem)
            }
        }
        val collected = ArrayList<ResponsePart>()
        while (true) {
            when (val item = exchange.next(spec.budgetMs + RESPONSE_GRACE_MS)) {
                is ExchangeItem.Part -> collected += item.part
                is ExchangeItem.Refused -> return respondToRefusal(exchange, spec, item.refusal)
                ExchangeItem.Done -> {
                    traffic.unregister(exchange)
                    return json(encoder.encodeResponse(collected)).header(REQUEST_ID, spec.id.value)
                }
            }
        }
    }

    private fun streamResponse(
        exchange: CallerExchange,
        spec: RequestSpec,
        encoder: ChatEncoder,
        firstItem: ExchangeItem,
    ): Response {
        val stream =
            ServerSentEventStream(
                exchange,
                encoder,
                firstItem,
                spec.budgetMs + RESPONSE_GRACE_MS,
            ) { isComplete ->
                traffic.unregister(exchange)
                if (!isComplete) control.post(CallerDisconnected(spec.id))
            }
        return Response(Status.OK)
            .header("Content-Type", "text/event-stream")
            .header("Cache-Control", "no-store")
            .header(REQUEST_ID, spec.id.value)
            .body(stream)
    }

    private fun callService(request: Request): Response = authenticated(request) { caller ->
        val bytes = request.readBody(limits.maxBodyBytes) ?: return@authenticated tooLarge()
        val service = ServiceId(request.path("service").orEmpty())
        val configured = caller.serviceOf(service)
        if (configured !is Service.Plain) return@authenticated unknownService(service)
        if (!configured.idempotent) {
            return@authenticated badRequest("calls of $service go through /v1/orders")
        }
        val spec = RequestSpec(
            id = requestIds.next(),
            subscriber = caller.subscriber,
            service = service,
            promptTokens = PLAIN_COST_TOKENS,
            maxOutputTokens = 0,
            prefix = PrefixKey(hashKey(bytes.decodeToString())),
            budgetMs = request.deadlineMs() ?: caller.deadlineMs,
            sequence = caller.snapshot.sequence,
        )
        val exchange = CallerExchange(spec.id, bytes, control)
        start(exchange, spec)
        awaitResponse(exchange, spec)
    }

    private fun runOrder(request: Request): Response {
        val text = request.header("Idempotency-Key")
        val key = text?.let(OrderKey::parse)
        // An earlier call with this key may have run the order. The refusal of this call does not
        // prove that the order did not run.
        val runState = if (key == null) RunState.NOT_RUN else RunState.UNKNOWN
        return authenticated(request, runState) { caller ->
            val bytes = request.readBody(limits.maxBodyBytes)
                ?: return@authenticated tooLarge(runState)
            val order = try {
                daemonJson.decodeFromString<OrderRequest>(bytes.decodeToString())
            } catch (e: SerializationException) {
                return@authenticated badRequest("body is not an order: ${e.firstLine()}", runState)
            }
            if (order.order !is JsonObject) {
                return@authenticated badRequest("order must be a JSON object", runState)
            }
            when {
                text == null -> badRequest("the header Idempotency-Key is missing")
                key == null -> homeRequired(text)
                else -> callOrderService(
                    request,
                    caller,
                    ServiceId(order.service),
                    key,
                    OrderCall.RUN,
                    bytes,
                )
            }
        }
    }

    private fun homeRequired(reference: String): Response {
        if (!OrderKey.isReference(reference)) {
            return badRequest("Idempotency-Key must be HOME_TOKEN~REFERENCE, found \"$reference\"")
        }
        val home = control.read { it.ownHomeToken() }
        val detail = "send the key again as $home~$reference"
        return Refusal(RefusalReason.HOME_REQUIRED, detail = detail)
            .toResponse(homeToken = home.toString())
    }

    private fun orderCall(request: Request, orderCall: OrderCall): Response =
        authenticated(request, RunState.UNKNOWN) { caller ->
            val text = request.path("key").orEmpty()
            val key = OrderKey.parse(text)
                ?: return@authenticated badRequest("not an order key: \"$text\"")
            val service = request.query("service")?.let(::ServiceId) ?: caller.onlyOrderService()
                ?: return@authenticated badRequest(
                    "the query parameter service is missing",
                    RunState.UNKNOWN,
                )
            callOrderService(request, caller, service, key, orderCall, ByteArray(0))
        }

    private fun callOrderService(
        request: Request,
        caller: Caller,
        service: ServiceId,
        key: OrderKey,
        orderCall: OrderCall,
        bytes: ByteArray,
    ): Response {
        if (caller.serviceOf(service) !is Service.Plain) {
            return unknownService(service, RunState.UNKNOWN)
        }
        val spec = RequestSpec(
            id = requestIds.next(),
            subscriber = caller.subscriber,
            service = service,
            promptTokens = PLAIN_COST_TOKENS,
            maxOutputTokens = 0,
            prefix = PrefixKey(hashKey(key.toString())),
            budgetMs = request.deadlineMs() ?: caller.deadlineMs,
            sequence = caller.snapshot.sequence,
            order = key,
            orderCall = orderCall,
        )
        val exchange = CallerExchange(spec.id, bytes, control)
        start(exchange, spec)
        return awaitResponse(exchange, spec)
    }

    private fun awaitResponse(exchange: CallerExchange, spec: RequestSpec): Response {
        var body: ResponsePart.Body? = null
        while (true) {
            when (val item = exchange.next(spec.budgetMs + RESPONSE_GRACE_MS)) {
                is ExchangeItem.Part -> body = item.part as? ResponsePart.Body ?: body
                is ExchangeItem.Refused -> return respondToRefusal(exchange, spec, item.refusal)
                ExchangeItem.Done -> {
                    traffic.unregister(exchange)
                    val completeBody = body ?: return Response(Status.BAD_GATEWAY)
                    return Response(Status(completeBody.status, null))
                        .header("Content-Type", completeBody.contentType)
                        .header(REQUEST_ID, spec.id.value)
                        .body(completeBody.bytes.inputStream(), completeBody.bytes.size.toLong())
                }
            }
        }
    }

    private fun start(exchange: CallerExchange, spec: RequestSpec) {
        traffic.register(exchange)
        control.post(RequestArrived(spec))
    }

    private fun respondToRefusal(
        exchange: CallerExchange,
        spec: RequestSpec,
        refusal: Refusal,
    ): Response {
        traffic.unregister(exchange)
        return refusal.toResponse(spec.id)
    }

    private fun authenticated(
        request: Request,
        runState: RunState = RunState.NOT_RUN,
        serve: (Caller) -> Response,
    ): Response {
        val snapshot = traffic.view.snapshot
            ?: return Refusal(RefusalReason.NOT_READY, runState, retryAfterMs = 500).toResponse()
        val key = request.apiKey()
            ?: return Refusal(RefusalReason.UNAUTHORIZED, runState, "no API key").toResponse()
        val subscriber = subscribers.find(snapshot, key)
            ?: return Refusal(RefusalReason.UNAUTHORIZED, runState, "unknown API key").toResponse()
        return serve(Caller(subscriber, snapshot))
    }

    private class Caller(val subscriber: SubscriberId, val snapshot: ConfigSnapshot) {
        private val group = snapshot.configuration.subscribers.getValue(subscriber).group
            .let { snapshot.configuration.groups.getValue(it) }

        val deadlineMs: Long
            get() = group.deadlineMs

        fun serviceOf(id: ServiceId): Service? = snapshot.configuration.services[id]

        /** The group's only service that takes orders, or null if it has none or more than one. */
        fun onlyOrderService(): ServiceId? = group.services.singleOrNull {
            val service = snapshot.configuration.services[it]
            service is Service.Plain && !service.idempotent
        }
    }

    private companion object {
        const val REQUEST_ID = "X-Request-Id"
    }
}

private const val MAX_DEADLINE_MS = 600_000L

/** The deadline that the caller requested, limited to [MAX_DEADLINE_MS]. */
private fun Request.deadlineMs(): Long? =
    header("X-Deadline-Ms")?.toLongOrNull()?.coerceIn(1, MAX_DEADLINE_MS)

/** Reads the complete body. Returns null if it is larger than [maxBytes]. */
internal fun Request.readBody(maxBytes: Int): ByteArray? {
    val bytes = body.stream.readNBytes(maxBytes + 1)
    return if (bytes.size > maxBytes) null else bytes
}

private fun json(text: String) =
    Response(Status.OK).header("Content-Type", "application/json").body(text)

private fun badRequest(detail: String, runState: RunState = RunState.NOT_RUN) =
    Refusal(RefusalReason.BAD_REQUEST, runState, detail).toResponse()

private fun unknownService(service: ServiceId, runState: RunState = RunState.NOT_RUN) =
    Refusal(RefusalReason.UNKNOWN_SERVICE, runState, "no plain service $service").toResponse()

private fun tooLarge(runState: RunState = RunState.NOT_RUN): Response =
    badRequest("body is too large", runState)
        .status(Status.REQUEST_ENTITY_TOO_LARGE)

private fun SerializationException.firstLine() = message.orEmpty().lineSequence().first()
