import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Large configurations come in quick succession. The last of them moves a route to another service. No
 * request that is sent later than ConfigMs after its acknowledgement may be run by the old service.
 */
public final class ConfigStorm {
    private static final int GATEWAYS = 3;
    private static final int CONFIG_MS = 4_000;
    private static final int STORM_MS = 2_000;
    private static final int GAP_MS = 80;

    /** At most ValueBytes, 1,048,576. */
    private static final int VALUE_BYTES = 1_040_000;

    private record Run(String id, long sentMs, String service) {}

    public static void main(String[] arguments) throws Exception {
        Kit.main(Path.of(arguments[0]), ConfigStorm::run);
    }

    private static String route(String name, String prefix, String service) {
        return "{\"Name\":\"" + name + "\",\"Host\":\"shop.example\",\"Prefix\":\"" + prefix + "\",\"Kind\":\"non_idempotent\","
            + "\"TimeoutMs\":2000,\"SloMs\":600,\"Priority\":2,\"Service\":\"" + service + "\",\"Attempts\":1}";
    }

    private static String config(int version, String service, int bytes) {
        StringBuilder text = new StringBuilder("{\"Version\":" + version + ",\"Routes\":[" + route("pay", "/pay/", service));
        for (int i = 0; text.length() < bytes - 1_000; i++) {
            text.append(",").append(route("r-" + i, "/more" + i + "/", "old"));
        }
        return text + "],\"Services\":[" + service("old") + "," + service("new") + "]," + Kit.limits() + "}";
    }

    private static String service(String name) {
        return "{\"Name\":\"" + name + "\",\"HealthPath\":\"/healthz\",\"MaxConns\":110,\"ColdS\":0.0,\"ColdPerS\":0.0}";
    }

    private static int run() throws Exception {
        int bytes = Integer.parseInt(System.getenv().getOrDefault("VALUE_BYTES", "" + VALUE_BYTES));
        Kit.Store store = new Kit.Store();
        Map<String, Long> sentMs = new HashMap<>();
        List<Run> runs = new ArrayList<>();
        for (String service : List.of("old", "new")) {
            Kit.Engine engine = new Kit.Engine("i-" + service, service, "zone-a", store, exchange -> {
                synchronized (runs) {
                    runs.add(new Run(exchange.request.id(), sentMs.get(exchange.request.id()), service));
                }
                Kit.sleep(30);
                exchange.answer(200, "", "answer of " + service);
            });
            engine.open();
            engine.announce("ready");
        }
        int version = 7;
        store.put("op/config", config(version, "old", bytes));
        Kit.Ports ports = new Kit.Ports();
        List<Kit.Gateway> gateways = new ArrayList<>();
        for (int i = 0; i < GATEWAYS; i++) {
            gateways.add(new Kit.Gateway(2 + i, "zone-a", Map.of("zone-a", "region-a"), ports, store.port(),
                List.of("127.0.0.2:1", "127.0.0.3:1", "127.0.0.4:1")));
        }
        for (Kit.Gateway gateway : gateways) gateway.start();
        for (Kit.Gateway gateway : gateways) Kit.await("gateway is ready", 20_000, gateway::isReady);
        Kit.sleep(7_000);
        if (Kit.TROUBLE) {
            long endMs = Kit.nowMs() + STORM_MS;
            while (Kit.nowMs() < endMs) {
                store.put("op/config", config(++version, "old", bytes));
                Kit.sleep(GAP_MS);
            }
        }
        store.put("op/config", config(++version, "new", bytes));
        long acknowledgedMs = Kit.nowMs();
        Kit.log("version " + version + " acknowledged; it moves the route to the new service");
        for (int i = 0; i < 750; i++) {
            int number = i;
            Kit.Gateway gateway = gateways.get(number % GATEWAYS);
            Kit.start("caller", () -> {
                String id = "request-" + number;
                synchronized (runs) {
                    sentMs.put(id, Kit.nowMs());
                }
                Map<String, String> headers = new HashMap<>();
                headers.put("Host", "shop.example");
                headers.put("X-Pomeloladder-Request-Id", id);
                headers.put("X-Pomeloladder-Deadline-Ms", "4000");
                Kit.Answer answer = Kit.call(gateway.host, ports.callers, "POST", "/pay/" + number, headers, new byte[600], 5_000);
                Kit.note(id + " at " + gateway.host + " " + answer + " " + answer.body);
                return 0;
            });
            Kit.sleep(40);
        }
        Kit.sleep(3_000);
        long late = 0;
        long lastMs = 0;
        for (Run run : runs) {
            if (run.service.equals("new") || run.sentMs <= acknowledgedMs + CONFIG_MS) continue;
            late++;
            lastMs = Math.max(lastMs, run.sentMs - acknowledgedMs);
        }
        for (Kit.Gateway gateway : gateways) {
            for (String line : gateway.logLines("\"event\":\"200\"", "\"event\":\"204\"", "\"event\":\"205\"", "OutOfMemory")) {
                Kit.note(gateway.host + " " + line);
            }
        }
        Kit.log(late + " requests that were sent later than 4 s after the acknowledgement were run by the old service"
            + (late > 0 ? ", the last one sent " + lastMs + " ms after it" : ""));
        return late > 0 ? Kit.BROKEN : Kit.HELD;
    }
}
