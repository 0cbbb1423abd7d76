import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Many callers send bodies within the limit at the same time. */
public final class LargeBodies {
    public static void main(String[] arguments) throws Exception {
        Kit.main(Path.of(arguments[0]), LargeBodies::run);
    }

    private static int run() throws Exception {
        int callers = Integer.parseInt(System.getenv().getOrDefault("CALLERS", "64"));
        int bodyBytes = Integer.parseInt(System.getenv().getOrDefault("BODY_BYTES", "4000000"));
        int rounds = Integer.parseInt(System.getenv().getOrDefault("ROUNDS", "3"));
        Kit.Store store = new Kit.Store();
        Map<String, String> zones = Map.of("zone-a", "region-a");
        for (int i = 0; i < 3; i++) {
            Kit.Engine engine = new Kit.Engine("i-" + i, "svc", "zone-a", store, exchange -> {
                Kit.note("engine " + exchange.engine.id + " runs " + exchange.request.id());
                Kit.sleep(60);
                exchange.answer(200, "", "answer to " + exchange.request.id());
            });
            engine.open();
            engine.announce("ready");
        }
        store.put("op/config", "{\"Version\":7,\"Routes\":[{\"Name\":\"r\",\"Host\":\"shop.example\",\"Prefix\":\"/pay/\","
            + "\"Kind\":\"non_idempotent\",\"TimeoutMs\":4000,\"SloMs\":600,\"Priority\":2,\"Service\":\"svc\",\"Attempts\":1}],"
            + "\"Services\":[{\"Name\":\"svc\",\"HealthPath\":\"/healthz\",\"MaxConns\":110,\"ColdS\":0.0,\"ColdPerS\":0.0}],"
            + Kit.limits() + "}");
        Kit.Ports ports = new Kit.Ports();
        Kit.Gateway gateway = new Kit.Gateway(2, "zone-a", zones, ports, store.port(), List.of("127.0.0.2:1"));
        gateway.start();
        Kit.await("gateway is ready", 20_000, gateway::isReady);
        Kit.sleep(1_500);
        for (int c = 0; c < 8; c++) {
            int caller = c;
            Kit.start("small", () -> {
                for (int i = 0; i < 2_000; i++) {
                    String id = "bg-" + caller + "-" + i;
                    Kit.Answer answer = send(gateway, ports, id, 100);
                    if (answer.status != 200) Kit.note(id + " " + answer);
                    Kit.count("bg " + (answer.failure.isEmpty() ? "status " + answer.status : "no answer: " + answer.failure));
                }
                return 0;
            });
        }
        for (int round = 0; round < rounds; round++) {
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < callers; i++) {
                String id = "large-" + round + "-" + i;
                threads.add(Kit.start(id, () -> {
                    Kit.Answer answer = send(gateway, ports, id, bodyBytes);
                    Kit.note(id + " " + answer);
                    Kit.count(answer.failure.isEmpty() ? "status " + answer.status : "no answer: " + answer.failure);
                    return 0;
                }));
            }
            for (Thread thread : threads) thread.join();
            Kit.log("round " + round + ": " + Kit.COUNTS + " alive=" + gateway.isAlive());
            Kit.sleep(1_000);
        }
        for (int i = 0; i < 20; i++) {
            Kit.Answer answer = send(gateway, ports, "small-" + i, 100);
            Kit.log("small-" + i + " " + answer + " ready=" + gateway.isReady() + " alive=" + gateway.isAlive());
            Kit.sleep(300);
        }
        for (String line : gateway.logLines("OutOfMemory", "\"104\"", "\"110\"", "\"108\"")) Kit.note(line.substring(0, Math.min(300, line.length())));
        Kit.log("OOM lines: " + gateway.logLines("OutOfMemory").size());
        return Kit.HELD;
    }

    private static Kit.Answer send(Kit.Gateway gateway, Kit.Ports ports, String id, int bytes) {
        Map<String, String> headers = new HashMap<>();
        headers.put("Host", "shop.example");
        headers.put("X-Pomeloladder-Request-Id", id);
        headers.put("X-Pomeloladder-Deadline-Ms", "8000");
        return Kit.call(gateway.host, ports.callers, "POST", "/pay/" + id, headers, new byte[bytes], 9_000);
    }
}
