import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many callers send bodies within MaxBodyBytes at once, beside callers with small requests. Afterwards,
 * without any load, small requests must get an answer by half a second after their route's TimeoutMs.
 */
public final class LargeBodies {
    private static final int TIMEOUT_MS = 2_000;
    private static final int ANSWER_SLACK_MS = 500;
    private static final int PROBES = 30;
    private static final int QUIET_MS = 8_000;

    /** No burst starts later, so that the case ends within 120 s. */
    private static final int LOAD_MS = 60_000;
    private static final AtomicInteger largeRuns = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        Kit.main(Path.of(arguments[0]), LargeBodies::run);
    }

    private static int setting(String name, int value) {
        return Integer.parseInt(System.getenv().getOrDefault(name, "" + value));
    }

    private static int run() throws Exception {
        int callers = setting("CALLERS", 160);
        int rounds = setting("ROUNDS", 12);
        byte[] body = new byte[Kit.TROUBLE ? setting("BODY_BYTES", 1_000_000) : 18_000];
        Kit.Store store = new Kit.Store();
        for (int i = 0; i < 3; i++) {
            Kit.Engine engine = new Kit.Engine("i-" + i, "svc", "zone-a", store, exchange -> {
                if (exchange.request.id().startsWith("large")) largeRuns.incrementAndGet();
                Kit.sleep(60);
                exchange.answer(200, "", "answer to " + exchange.request.id());
            });
            engine.open();
            engine.announce("ready");
        }
        store.put("op/config", "{\"Version\":7,\"Routes\":[{\"Name\":\"r\",\"Host\":\"shop.example\",\"Prefix\":\"/pay/\","
            + "\"Kind\":\"non_idempotent\",\"TimeoutMs\":" + TIMEOUT_MS + ",\"SloMs\":600,\"Priority\":2,\"Service\":\"svc\","
            + "\"Attempts\":1}],\"Services\":[{\"Name\":\"svc\",\"HealthPath\":\"/healthz\",\"MaxConns\":110,\"ColdS\":0.0,"
            + "\"ColdPerS\":0.0}]," + Kit.limits() + "}");
        Kit.Ports ports = new Kit.Ports();
        Kit.Gateway gateway =
            new Kit.Gateway(2, "zone-a", Map.of("zone-a", "region-a"), ports, store.port(), List.of("127.0.0.2:1"));
        gateway.start();
        Kit.await("gateway is ready", 20_000, gateway::isReady);
        Kit.sleep(1_500);
        boolean[] isLoadOver = new boolean[1];
        for (int c = 0; c < 8; c++) {
            int caller = c;
            Kit.start("small", () -> {
                for (int i = 0; i < 2_000 && !isLoadOver[0]; i++) {
                    Kit.Answer answer = send(gateway, ports, "beside-" + caller + "-" + i, new byte[600]);
                    Kit.count("beside: " + describe(answer));
                }
                return 0;
            });
        }
        for (int round = 0; round < rounds && Kit.nowMs() < LOAD_MS; round++) {
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < callers; i++) {
                String id = "large-" + round + "-" + i;
                threads.add(Kit.start(id, () -> {
                    Kit.Answer answer = send(gateway, ports, id, body);
                    Kit.note(id + " " + answer);
                    Kit.count("large: " + describe(answer));
                    return 0;
                }));
            }
            for (Thread thread : threads) thread.join();
            Kit.log("burst " + round + ": " + Kit.COUNTS + ", run " + largeRuns + ", alive=" + gateway.isAlive());
            if (gateway.isAlive() && !gateway.isReady()) Kit.sleep(QUIET_MS);
            if (!gateway.isAlive()) {
                // The platform starts a process again that ended by itself.
                Kit.log("the process ended by itself with exit code " + gateway.exitValue() + " and is started again");
                gateway.start();
                Kit.await("gateway is ready again", 20_000, gateway::isReady);
                Kit.sleep(1_500);
            } else if (!gateway.isReady()) {
                break;
            }
            Kit.sleep(500);
        }
        isLoadOver[0] = true;
        Kit.log("the load is over; " + QUIET_MS + " ms pass");
        Kit.sleep(QUIET_MS);
        AtomicInteger unanswered = new AtomicInteger();
        List<Thread> probes = new ArrayList<>();
        for (int i = 0; i < PROBES; i++) {
            String id = "after-" + i;
            probes.add(Kit.start(id, () -> {
                Kit.Answer answer = send(gateway, ports, id, new byte[600]);
                if (answer.status == 0) unanswered.incrementAndGet();
                Kit.note(id + " " + answer);
                return 0;
            }));
            Kit.sleep(100);
        }
        for (Thread probe : probes) probe.join();
        Kit.log("process " + gateway.pid() + ": alive=" + gateway.isAlive() + " ready=" + gateway.isReady());
        for (String line : Files.readString(gateway.output, StandardCharsets.UTF_8).split("\n")) {
            if (!line.startsWith("{\"time\"") || line.contains("OutOfMemory")) Kit.log("gateway: " + line);
        }
        Kit.log(unanswered + " of " + PROBES + " small requests had no answer " + ANSWER_SLACK_MS + " ms after TimeoutMs");
        return unanswered.get() * 2 > PROBES ? Kit.BROKEN : Kit.HELD;
    }

    private static String describe(Kit.Answer answer) {
        return answer.failure.isEmpty() ? "status " + answer.status : "no answer";
    }

    private static Kit.Answer send(Kit.Gateway gateway, Kit.Ports ports, String id, byte[] body) {
        Map<String, String> headers = new HashMap<>();
        headers.put("Host", "shop.example");
        headers.put("X-Pomeloladder-Request-Id", id);
        headers.put("X-Pomeloladder-Deadline-Ms", "4000");
        int waitMs = id.startsWith("after") ? TIMEOUT_MS + ANSWER_SLACK_MS : 4_000;
        return Kit.call(gateway.host, ports.callers, "POST", "/pay/" + id, headers, body, waitMs);
    }
}
