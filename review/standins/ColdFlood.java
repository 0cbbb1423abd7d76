import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The seeds are stale when the gateways of a region start; the settings file gets the right ones after
 * SeedLagS, without a signal. An engine then starts cold. All gateways together may send it ColdPerS x ColdOverage + ColdSlack requests a second.
 */
public final class ColdFlood {
    private static final int GATEWAYS = 3;
    private static final double COLD_PER_S = 2.4;
    private static final double BOUND = COLD_PER_S * 1.5 + 3;
    private static final int COLD_MS = 8_000;
    private static final int SEED_LAG_MS = 3_000;
    private static final List<String> GOOD_SEEDS = List.of("127.0.0.2:1", "127.0.0.3:1", "127.0.0.4:1");

    /** A cold engine "crashes at a rate well above" ColdPerS: here at nearly twice the bound of the rule. */
    private static final int CRASH_PER_S = 13;

    private record Arrival(long sentMs, long ms) {}

    public static void main(String[] arguments) throws Exception {
        Kit.main(Path.of(arguments[0]), ColdFlood::run);
    }

    private static int run() throws Exception {
        Kit.Store store = new Kit.Store();
        Map<String, String> zones = Map.of("zone-a", "region-a");
        List<Arrival> arrivals = new ArrayList<>();
        Map<String, Long> sentMs = new HashMap<>();
        Kit.Handler handler = exchange -> {
            boolean isCold = Kit.nowMs() < exchange.engine.coldUntilMs;
            if (isCold) {
                boolean crashes;
                synchronized (arrivals) {
                    long nowMs = Kit.nowMs();
                    arrivals.add(new Arrival(sentMs.get(exchange.request.id()), nowMs));
                    crashes = arrivals.stream().filter(a -> a.ms > nowMs - 1_000).count() > CRASH_PER_S;
                }
                Kit.note("cold " + exchange.engine.id + " gets " + exchange.request.id());
                if (crashes) {
                    Kit.log("cold engine crashes");
                    exchange.engine.crash();
                    return;
                }
            }
            Kit.sleep(60);
            exchange.answer(200, "", "answer to " + exchange.request.id());
        };
        store.put("op/config", "{\"Version\":7,\"Routes\":[{\"Name\":\"pay\",\"Host\":\"shop.example\",\"Prefix\":\"/pay/\","
            + "\"Kind\":\"non_idempotent\",\"TimeoutMs\":2000,\"SloMs\":600,\"Priority\":2,\"Service\":\"svc\",\"Attempts\":1}],"
            + "\"Services\":[{\"Name\":\"svc\",\"HealthPath\":\"/healthz\",\"MaxConns\":110,\"ColdS\":3.0,\"ColdPerS\":" + COLD_PER_S + "}],"
            + Kit.limits() + "}");
        Kit.Ports ports = new Kit.Ports();
        List<String> seeds = Kit.TROUBLE
            ? List.of("127.0.0.51:1", "127.0.0.52:1", "127.0.0.53:1")
            : GOOD_SEEDS;
        List<Kit.Gateway> gateways = new ArrayList<>();
        for (int i = 0; i < GATEWAYS; i++) {
            gateways.add(new Kit.Gateway(2 + i, "zone-a", zones, ports, store.port(), seeds));
        }
        for (Kit.Gateway gateway : gateways) gateway.start();
        for (Kit.Gateway gateway : gateways) Kit.await("gateway is ready", 20_000, gateway::isReady);
        Kit.sleep(SEED_LAG_MS);
        for (Kit.Gateway gateway : gateways) {
            gateway.seeds = GOOD_SEEDS;
            gateway.writeSettings();
        }
        Kit.log("all settings files name the right seeds; no signal is sent");
        Kit.sleep(10_000);
        for (Kit.Gateway gateway : gateways) Kit.log("directory of " + gateway.host + ": " + gateway.lookUp());
        Kit.Engine engine = new Kit.Engine("i-cold", "svc", "zone-a", store, handler);
        engine.coldUntilMs = Kit.nowMs() + COLD_MS;
        engine.open();
        engine.announce("ready");
        Kit.log("the engine has started and is cold for " + COLD_MS + " ms");
        for (int i = 0; i < 300; i++) {
            int number = i;
            Kit.Gateway gateway = gateways.get(number % GATEWAYS);
            Kit.start("caller", () -> {
                String id = "request-" + number;
                synchronized (arrivals) {
                    sentMs.put(id, Kit.nowMs());
                }
                Map<String, String> headers = new HashMap<>();
                headers.put("Host", "shop.example");
                headers.put("X-Pomeloladder-Request-Id", id);
                headers.put("X-Pomeloladder-Deadline-Ms", "4000");
                Kit.Answer answer = Kit.call(gateway.host, ports.callers, "POST", "/pay/" + number, headers, new byte[600], 5_000);
                Kit.note(id + " at " + gateway.host + " " + answer);
                Kit.count(answer.failure.isEmpty() ? "status " + answer.status : "no answer");
                return 0;
            });
            Kit.sleep(30);
        }
        Kit.sleep(3_000);
        int most = 0;
        for (Arrival first : arrivals) {
            int inside = 0;
            for (Arrival other : arrivals) {
                if (other.sentMs >= first.sentMs && other.ms < first.sentMs + 1_000) inside++;
            }
            most = Math.max(most, inside);
        }
        Kit.log("requests to the cold engine that were sent and arrived inside one second: " + most + " (bound: " + BOUND + ")");
        Kit.log("answers: " + Kit.COUNTS);
        return most > BOUND ? Kit.BROKEN : Kit.HELD;
    }
}
