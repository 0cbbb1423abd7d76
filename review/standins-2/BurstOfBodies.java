import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * CONFIG. Clients send bodies of at most the size that the configuration allows, one request at a time, on
 * kept connections. Many users come for ten seconds. Of the small requests that are sent from five seconds
 * after the burst on and are unanswered at the time limit of their route, more than half must have an
 * answer half a second later.
 */
final class BurstOfBodies implements Case {
    private static final int CLIENTS = 40;

    /** The largest factor of a burst in the days of the sites, and its longest time. */
    private static final double BURST_FACTOR = 2.7;
    private static final int BURST_MS = 10_000;
    private static final int BEFORE_BURST_MS = 6_000;

    /** While clients press and for this long afterwards, a machine may count as slowed. */
    private static final int AFTER_BURST_MS = 5_000;
    private static final int JUDGED_MS = 12_000;

    private static final int MAX_BODY_BYTES = 4_194_304;
    private static final int MIN_BODY_BYTES = 800;
    private static final int SMALL_CLIENTS = 8;
    private static final int SMALL_BODY_BYTES = 600;
    private static final int MAX_PAUSE_MS = 1_000;
    private static final int WORK_MS = 85;
    private static final int DEADLINE_MS = 4_000;
    private static final int TIMEOUT_MS = 2_000;
    private static final int SLACK_MS = 500;
    private static final int MIN_UNANSWERED = 8;
    private static final int MIN_ANSWERED = 50;
    private static final String CONFIG = "{\"Version\":1,\"Routes\":[{\"Name\":\"pay\",\"Host\":\"shop.example\","
        + "\"Prefix\":\"/pay/\",\"Kind\":\"non_idempotent\",\"TimeoutMs\":" + TIMEOUT_MS + ",\"SloMs\":686,"
        + "\"Priority\":2,\"Service\":\"orders\",\"Attempts\":1}],\"Services\":[{\"Name\":\"orders\","
        + "\"HealthPath\":\"/healthz\",\"MaxConns\":110,\"ColdS\":0.0,\"ColdPerS\":0.0}],\"Limits\":"
        + "{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":" + MAX_BODY_BYTES + ",\"HeaderTimeoutMs\":3000,"
        + "\"IdleTimeoutMs\":15000}}";

    /** A small request; [answeredMs] is the time to its answer, null without one. */
    private record SmallCall(long sentMs, Long answeredMs, boolean isClosed) {}

    private final Record record;
    private final boolean hasTrouble;
    private final ConcurrentLinkedQueue<SmallCall> smallCalls = new ConcurrentLinkedQueue<>();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger closed = new AtomicInteger();
    private final AtomicLong bytesInProgress = new AtomicLong();
    private final AtomicLong maxBytesInProgress = new AtomicLong();

    BurstOfBodies(Record record, boolean hasTrouble) {
        this.record = record;
        this.hasTrouble = hasTrouble;
    }

    @Override
    public int run(Path directory) throws Exception {
        String net = "127." + (20 + new Random().nextInt(200)) + "." + new Random().nextInt(250) + ".";
        StoreStandIn store = new StoreStandIn(net + "1");
        store.put("op/config", CONFIG);
        for (int number = 0; number < 3; number++) {
            Engine engine = new Engine("i-" + number, net + (100 + number), 0, this::serve);
            store.put("servers/" + engine.id, engine.entry("orders", "north-a", "v1", System.currentTimeMillis(), 32));
        }
        try (Gateway gateway = new Gateway(directory, net + "2", "north", Map.of("north-a", "north"),
            List.of(net + "2"), store.address())) {
            gateway.start();
            if (!gateway.awaitReady(20_000)) return NOT_RUN;
            Thread.sleep(2_000);
            long startedMs = System.currentTimeMillis();
            long burstMs = startedMs + BEFORE_BURST_MS;
            long judgedMs = burstMs + BURST_MS + AFTER_BURST_MS;
            long endMs = judgedMs + JUDGED_MS;
            for (int number = 0; number < CLIENTS; number++) start(gateway, number, endMs, false);
            for (int number = 0; number < SMALL_CLIENTS; number++) start(gateway, 1_000 + number, endMs, true);
            sleepUntil(burstMs);
            report("before the burst", gateway);
            if (hasTrouble) {
                int all = (int) Math.round(CLIENTS * BURST_FACTOR);
                record.line("burst: " + all + " instead of " + CLIENTS + " clients for " + BURST_MS + " ms");
                for (int number = CLIENTS; number < all; number++) start(gateway, number, burstMs + BURST_MS, false);
            }
            sleepUntil(judgedMs);
            report("five seconds after the burst", gateway);
            sleepUntil(endMs + DEADLINE_MS);
            report("at the end", gateway);
            record.result("ready: " + gateway.isReady() + ", exit code: " + gateway.exitCode());
            gateway.log().lines().filter(line -> line.contains("OutOfMemoryError")).forEach(record::result);
            return judge(judgedMs);
        }
    }

    private int judge(long judgedMs) {
        List<SmallCall> judged = smallCalls.stream().filter(call -> call.sentMs >= judgedMs && !call.isClosed).toList();
        long atTimeout = judged.stream().filter(call -> !isAnsweredWithin(call, TIMEOUT_MS)).count();
        long later = judged.stream().filter(call -> !isAnsweredWithin(call, TIMEOUT_MS + SLACK_MS)).count();
        record.result(judged.size() + " small requests judged, " + atTimeout + " unanswered at " + TIMEOUT_MS + " ms, "
            + later + " of them half a second later");
        // Without some answers before the burst the case says nothing.
        if (smallCalls.stream().filter(call -> call.answeredMs != null).count() < MIN_ANSWERED) return NOT_RUN;
        return later >= MIN_UNANSWERED && later * 2 > atTimeout ? BROKEN : HELD;
    }

    private static boolean isAnsweredWithin(SmallCall call, int limitMs) {
        return call.answeredMs != null && call.answeredMs <= limitMs;
    }

    private void report(String when, Gateway gateway) {
        record.result("bodies in progress at once until then: " + maxBytesInProgress.get() / 1_000_000 + " MB at most");
        record.result(when + ": " + answered + " answered, " + unanswered + " unanswered at their deadline, " + closed
            + " connections closed without an answer, process alive: " + gateway.isAlive());
    }

    private static void sleepUntil(long timeMs) throws InterruptedException {
        Thread.sleep(Math.max(0, timeMs - System.currentTimeMillis()));
    }

    private boolean serve(Engine engine, Http.Message request, Socket socket) throws IOException {
        String id = request.head().headers().get("x-pomeloladder-request-id");
        record.line(engine.id + " runs " + id + " with " + request.body().length + " bytes");
        try {
            Thread.sleep(WORK_MS);
        } catch (InterruptedException e) {
            return false;
        }
        String stamp = "X-Pomeloladder-Server-Stamp: s." + engine.id + "\r\n";
        engine.answer(socket.getOutputStream(), request, "200 OK", stamp, new byte[800]);
        return true;
    }

    private void start(Gateway gateway, int number, long endMs, boolean isSmall) {
        Engine.thread(() -> call(gateway, number, endMs, isSmall));
    }

    /** Sends one request after another, on one connection as long as it is open. */
    private void call(Gateway gateway, int number, long endMs, boolean isSmall) {
        Random random = new Random(number);
        Caller caller = null;
        for (int count = 0; System.currentTimeMillis() < endMs; count++) {
            String id = (isSmall ? "small" : "p") + number + "-" + count;
            double part = random.nextDouble();
            int bytes = isSmall ? SMALL_BODY_BYTES
                : (int) (MIN_BODY_BYTES * Math.pow((double) MAX_BODY_BYTES / MIN_BODY_BYTES, part));
            long sentMs = System.currentTimeMillis();
            Long answeredMs = null;
            boolean isClosed = false;
            long inProgress = bytesInProgress.addAndGet(bytes);
            maxBytesInProgress.accumulateAndGet(inProgress, Math::max);
            try {
                if (caller == null) caller = new Caller(gateway.ip, gateway.frontPort());
                record.line(id + " sent with " + bytes + " bytes");
                Http.Message answer = caller.call("POST", "/pay/x", id, DEADLINE_MS, "", new byte[bytes]);
                if (answer == null) throw new IOException("closed");
                record.line(id + " got " + answer.head().firstLine());
                answered.incrementAndGet();
                answeredMs = System.currentTimeMillis() - sentMs;
                if ("close".equalsIgnoreCase(answer.head().headers().get("connection"))) caller = close(caller);
            } catch (SocketTimeoutException e) {
                record.line(id + " unanswered at its deadline");
                unanswered.incrementAndGet();
                caller = close(caller);
            } catch (IOException e) {
                record.line(id + " closed without an answer: " + e.getMessage());
                closed.incrementAndGet();
                isClosed = true;
                caller = close(caller);
            }
            bytesInProgress.addAndGet(-bytes);
            if (isSmall) smallCalls.add(new SmallCall(sentMs, answeredMs, isClosed));
            try {
                Thread.sleep(random.nextInt(MAX_PAUSE_MS));
            } catch (InterruptedException e) {
                return;
            }
        }
        close(caller);
    }

    private static Caller close(Caller caller) {
        try {
            if (caller != null) caller.close();
        } catch (IOException e) {
            // It is closed already.
        }
        return null;
    }
}
