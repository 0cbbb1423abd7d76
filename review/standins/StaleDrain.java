import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The open connections of all gateways to the store go silent for good; new ones work. Right after, an
 * engine starts to drain. Once the gateways are in touch again, no request may reach it later than
 * DrainMs after the store's acknowledgement.
 */
public final class StaleDrain {
    private static final int GATEWAYS = 2;
    private static final int DRAIN_MS = 4_000;
    private static final int STABLE_WINDOW_MS = 6_000;

    /** The bench counts half a second for the moment at which connections go silent. */
    private static final int RESET_MS = 500;
    private static final int ENGINE_LEAVES_MS = 6_900;

    private record Arrival(long ms, String id, String sentBy) {}

    public static void main(String[] arguments) throws Exception {
        Kit.main(Path.of(arguments[0]), StaleDrain::run);
    }

    private static String config(int version, int timeoutMs) {
        return "{\"Version\":" + version + ",\"Routes\":[{\"Name\":\"pay\",\"Host\":\"shop.example\",\"Prefix\":\"/pay/\","
            + "\"Kind\":\"non_idempotent\",\"TimeoutMs\":" + timeoutMs + ",\"SloMs\":600,\"Priority\":2,\"Service\":\"svc\","
            + "\"Attempts\":1}],\"Services\":[{\"Name\":\"svc\",\"HealthPath\":\"/healthz\",\"MaxConns\":110,\"ColdS\":0.0,"
            + "\"ColdPerS\":0.0}]," + Kit.limits() + "}";
    }

    private static int run() throws Exception {
        Kit.Store store = new Kit.Store();
        Kit.Proxy proxy = new Kit.Proxy(store.port());
        Map<String, String> zones = Map.of("zone-a", "region-a");
        List<Arrival> arrivals = new ArrayList<>();
        List<Kit.Engine> engines = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Kit.Engine engine = new Kit.Engine("i-" + i, "svc", "zone-a", store, exchange -> {
                synchronized (arrivals) {
                    if (exchange.engine.id.equals("i-0")) {
                        arrivals.add(new Arrival(Kit.nowMs(), exchange.request.id(), exchange.request.id().split("-")[0]));
                    }
                }
                Kit.note(exchange.engine.id + " runs " + exchange.request.id());
                Kit.sleep(250);
                exchange.answer(200, "", "answer to " + exchange.request.id());
            });
            engine.open();
            engine.announce("ready");
            engines.add(engine);
        }
        store.put("op/config", config(7, 2_000));
        Kit.Ports ports = new Kit.Ports();
        List<Kit.Gateway> gateways = new ArrayList<>();
        for (int i = 0; i < GATEWAYS; i++) {
            gateways.add(new Kit.Gateway(2 + i, "zone-a", zones, ports, proxy.port(), List.of("127.0.0.2:1", "127.0.0.3:1")));
        }
        for (Kit.Gateway gateway : gateways) gateway.start();
        for (Kit.Gateway gateway : gateways) Kit.await("gateway is ready", 20_000, gateway::isReady);
        Kit.sleep(STABLE_WINDOW_MS + 1_000);
        Thread callers = Kit.start("callers", () -> {
            for (int i = 0; i < 400; i++) {
                int number = i;
                Kit.Gateway gateway = gateways.get(number % GATEWAYS);
                Kit.start("caller", () -> {
                    String id = gateway.host + "-" + number;
                    Map<String, String> headers = new HashMap<>();
                    headers.put("Host", "shop.example");
                    headers.put("X-Pomeloladder-Request-Id", id);
                    headers.put("X-Pomeloladder-Deadline-Ms", "4000");
                    Kit.Answer answer = Kit.call(gateway.host, ports.callers, "POST", "/pay/" + number, headers, new byte[600], 5_000);
                    Kit.note(id + " " + answer);
                    Kit.count(answer.failure.isEmpty() ? "status " + answer.status : "no answer");
                    return 0;
                });
                Kit.sleep(30);
            }
            return 0;
        });
        // A change makes both gateways start a new watch half a second later.
        store.put("op/config", config(8, 2_100));
        Kit.log("version 8 acknowledged");
        Kit.sleep(600);
        long silentMs = Kit.nowMs();
        if (Kit.TROUBLE) {
            proxy.silence();
            Kit.log("open connections to the store are silent from now on");
        }
        Kit.sleep(200);
        engines.get(0).announce("draining");
        long acknowledgedMs = Kit.nowMs();
        Kit.log("the store acknowledged that i-0 is draining");
        Kit.sleep(ENGINE_LEAVES_MS);
        engines.get(0).crash();
        store.remove("servers/i-0");
        Kit.log("i-0 has left");
        callers.join();
        Kit.sleep(3_000);
        long fromMs = Math.max(silentMs + RESET_MS + STABLE_WINDOW_MS, acknowledgedMs + DRAIN_MS) + 50;
        long late = 0;
        for (Arrival arrival : arrivals) {
            if (arrival.ms <= fromMs) continue;
            late++;
            Kit.note("late at i-0: " + arrival.id + ", " + (arrival.ms - acknowledgedMs) + " ms after the acknowledgement, "
                + (arrival.ms - silentMs) + " ms after the connections went silent");
        }
        Kit.log("requests that reached i-0 later than 4 s after the acknowledgement, sent on by machines in touch: " + late);
        Kit.log("answers to all callers: " + Kit.COUNTS);
        for (Kit.Gateway gateway : gateways) {
            for (String line : gateway.logLines("\"204\"", "\"205\"", "\"307\"", "\"404\"")) Kit.note(gateway.host + " " + line);
        }
        return late > 0 ? Kit.BROKEN : Kit.HELD;
    }
}
