import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One shared part of a prompt crashes each engine that begins to write an answer on it. From
 * StableWindowMs after the fifth crash on, no more than three such requests may reach engines.
 * DEATH says how much of the answer leaves the engine: mid-head (default), no-bytes, after-head or
 * first-event.
 */
public final class DeadlyPart {
    private static final int ENGINES = 6;
    private static final int GATEWAYS = 3;
    private static final int STABLE_WINDOW_MS = 6_000;
    private static final int DOWN_MS = 3_000;
    private static final int HEARTBEAT_MS = 1_200;
    private static final int DURATION_MS = 40_000;
    private static final String DEADLY = "dead0001";
    private static final String FIRST = "a0000001";

    private static final List<Long> crashes = new ArrayList<>();
    private static final List<Long> deadlyArrivals = new ArrayList<>();
    private static final AtomicInteger incarnations = new AtomicInteger();

    private record Outcome(long sentMs, boolean isDeadly, boolean hasBegun, int status) {}

    public static void main(String[] arguments) throws Exception {
        Kit.main(Path.of(arguments[0]), DeadlyPart::run);
    }

    private static void serve(String death, Kit.Exchange exchange) throws Exception {
        boolean isDeadly = exchange.request.headers.getOrDefault("X-Pomeloladder-Prompt-Prefix", "").contains(DEADLY);
        Kit.Engine engine = exchange.engine;
        if (isDeadly) {
            synchronized (deadlyArrivals) {
                deadlyArrivals.add(Kit.nowMs());
            }
            Kit.note("deadly request " + exchange.request.id() + " reached " + engine.id);
        }
        Kit.sleep(40);
        String head = exchange.head(200, "OK") + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        if (isDeadly && Kit.TROUBLE) {
            if (death.equals("mid-head")) exchange.write(head.substring(0, 60));
            if (death.equals("after-head")) exchange.write(head);
            if (death.equals("first-event")) exchange.write(head + chunk("id: 1\ndata: 1\n\n"));
            Kit.sleep(5);
            crash(engine);
            return;
        }
        exchange.write(head);
        String after = exchange.request.header("Last-Event-Id");
        for (int i = after == null ? 1 : Integer.parseInt(after) + 1; i <= 8; i++) {
            exchange.write(chunk("id: " + i + "\ndata: " + i + " of " + exchange.request.id() + "\n\n"));
            Kit.sleep(20);
        }
        exchange.write("0\r\n\r\n");
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** The engine is back after some seconds, as a new incarnation with a new id. */
    private static void crash(Kit.Engine engine) throws Exception {
        String oldId = engine.id;
        synchronized (crashes) {
            crashes.add(Kit.nowMs());
            Kit.log("crash " + crashes.size() + ": " + oldId);
        }
        engine.crash();
        Kit.start("restart", () -> {
            Kit.sleep(DOWN_MS);
            engine.id = "i-n" + incarnations.incrementAndGet();
            engine.born = System.currentTimeMillis();
            engine.open();
            engine.announce("ready");
            return 0;
        });
        Kit.start("entry", () -> {
            Kit.sleep(3 * HEARTBEAT_MS);
            engine.store.remove("servers/" + oldId);
            return 0;
        });
    }

    private static int run() throws Exception {
        String death = System.getenv().getOrDefault("DEATH", "mid-head");
        Kit.log("death: " + death);
        Kit.Store store = new Kit.Store();
        Map<String, String> zones = Map.of("zone-a", "region-a");
        for (int i = 0; i < ENGINES; i++) {
            Kit.Engine engine = new Kit.Engine("i-0" + i, "llm", "zone-a", store, e -> serve(death, e));
            engine.open();
            engine.announce("ready");
        }
        store.put("op/config", "{\"Version\":7,\"Routes\":[{\"Name\":\"brief\",\"Host\":\"shop.example\",\"Prefix\":\"/brief/\","
            + "\"Kind\":\"streaming\",\"TimeoutMs\":5000,\"SloMs\":1000,\"GapAimMs\":600,\"Priority\":1,\"Service\":\"llm\","
            + "\"Attempts\":2,\"Sticky\":true,\"CanResume\":true,\"HomeRegions\":[]}],"
            + "\"Services\":[{\"Name\":\"llm\",\"HealthPath\":\"/healthz\",\"MaxConns\":370,\"ColdS\":3.0,\"ColdPerS\":2.4,"
            + "\"Engine\":{\"Slots\":64,\"KvCapacity\":292845,\"KvBytes\":18432,\"LinkMbps\":370000.0}}]," + Kit.limits() + "}");
        Kit.Ports ports = new Kit.Ports();
        List<Kit.Gateway> gateways = new ArrayList<>();
        for (int i = 0; i < GATEWAYS; i++) {
            gateways.add(new Kit.Gateway(2 + i, "zone-a", zones, ports, store.port(), List.of("127.0.0.2:1", "127.0.0.3:1")));
        }
        for (Kit.Gateway gateway : gateways) gateway.start();
        for (Kit.Gateway gateway : gateways) Kit.await("gateway is ready", 20_000, gateway::isReady);
        Kit.sleep(3_000);
        List<Outcome> outcomes = new ArrayList<>();
        long startMs = Kit.nowMs();
        int sent = 0;
        // 20 sound requests a second; after 5 s, one deadly request a second beside them.
        while (Kit.nowMs() < startMs + DURATION_MS) {
            int number = sent++;
            boolean isDeadly = Kit.nowMs() > startMs + 5_000 && number % 20 == 0;
            Kit.Gateway gateway = gateways.get(number % GATEWAYS);
            Kit.start("caller", () -> {
                long sentMs = Kit.nowMs();
                String prefix = FIRST + ":2520," + (isDeadly ? DEADLY : "b" + number % 5) + ":3780,c" + number + ":300";
                Map<String, String> headers = new HashMap<>();
                headers.put("Host", "shop.example");
                headers.put("X-Pomeloladder-Request-Id", "request-" + number);
                headers.put("X-Pomeloladder-Model", "m");
                headers.put("X-Pomeloladder-Token-Count", "6600,54");
                headers.put("X-Pomeloladder-Prompt-Prefix", prefix);
                headers.put("X-Pomeloladder-Deadline-Ms", "5000");
                Kit.Answer answer = Kit.call(gateway.host, ports.callers, "POST", "/brief/" + number, headers, new byte[500], 6_000);
                boolean hasBegun = answer.status == 200 && answer.body.size() > 0;
                synchronized (outcomes) {
                    outcomes.add(new Outcome(sentMs, isDeadly, hasBegun, answer.status));
                }
                Kit.note((isDeadly ? "deadly " : "sound ") + "request-" + number + " at " + gateway.host + ": " + answer);
                return 0;
            });
            Kit.sleep(50);
        }
        Kit.sleep(5_500);
        return judge(gateways, outcomes, startMs);
    }

    private static int judge(List<Kit.Gateway> gateways, List<Outcome> outcomes, long startMs) throws Exception {
        for (Kit.Gateway gateway : gateways) {
            for (String line : gateway.logLines("\"407\"", "\"414\"", "\"415\"", "\"416\"", "\"303\"")) Kit.note(gateway.host + " " + line);
        }
        long judgedFromMs;
        synchronized (crashes) {
            Kit.log(crashes.size() + " crashes");
            judgedFromMs = crashes.size() >= 5 ? crashes.get(4) + STABLE_WINDOW_MS : Long.MAX_VALUE;
        }
        if (judgedFromMs == Long.MAX_VALUE) {
            Kit.log("fewer than five crashes");
            long failed = outcomes.stream().filter(o -> !o.isDeadly && !o.hasBegun).count();
            Kit.log(failed + " of " + outcomes.stream().filter(o -> !o.isDeadly).count() + " sound requests did not begin");
            return !Kit.TROUBLE && failed > 0 ? Kit.NOT_RUN : Kit.HELD;
        }
        long late = deadlyArrivals.stream().filter(ms -> ms > judgedFromMs).count();
        Kit.log("deadly requests that reached engines later than 6 s after the fifth crash: " + late + " (bound: 3)");
        List<Outcome> calm = outcomes.stream().filter(o -> !o.isDeadly && o.sentMs < startMs + 5_000).toList();
        long fromMs = judgedFromMs + STABLE_WINDOW_MS;
        List<Outcome> later = outcomes.stream().filter(o -> !o.isDeadly && o.sentMs > fromMs).toList();
        Kit.log("sound requests begun at the first attempt: " + share(calm) + " before, " + share(later)
            + " from 12 s after the fifth crash");
        return late > 3 ? Kit.BROKEN : Kit.HELD;
    }

    private static String share(List<Outcome> list) {
        return list.stream().filter(Outcome::hasBegun).count() + " of " + list.size();
    }
}
