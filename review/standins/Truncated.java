import java.nio.file.Path;
import java.util.Map;

/**
 * An engine answers before it has read a long body, with neither a length nor chunks, and is killed
 * in the middle of that answer. The caller must not get the first part as the whole answer.
 */
public final class Truncated {
    private static final int ANSWER_BYTES = 60_000;
    private static final int SENT_BEFORE_CRASH = 20_000;
    private static final int CALLS = 6;

    public static void main(String[] arguments) throws Exception {
        Kit.main(Path.of(arguments[0]), Truncated::run);
    }

    private static int run() throws Exception {
        int bodyBytes = Integer.parseInt(System.getenv().getOrDefault("BODY_BYTES", "4000000"));
        Kit.Store store = new Kit.Store();
        Map<String, String> zones = Map.of("zone-a", "region-a");
        String whole = "x".repeat(ANSWER_BYTES);
        Kit.Engine engine = new Kit.Engine("i-one", "svc", "zone-a", store, exchange -> {
            Kit.note("engine got the head of " + exchange.request.id() + " and answers");
            exchange.write(exchange.head(200, "OK") + "Connection: close\r\n\r\n" + whole.substring(0, SENT_BEFORE_CRASH));
            Kit.sleep(300);
            if (Kit.TROUBLE) {
                Kit.note("engine is killed in the answer to " + exchange.request.id());
                Kit.reset(exchange.socket);
                return;
            }
            Kit.readBody(exchange.socket, exchange.request);
            exchange.write(whole.substring(SENT_BEFORE_CRASH));
            exchange.socket.close();
        });
        engine.readsBody = false;
        engine.receiveBuffer = 65_536;
        engine.open();
        store.put("op/config", "{\"Version\":7,\"Routes\":[{\"Name\":\"r\",\"Host\":\"shop.example\",\"Prefix\":\"/pay/\","
            + "\"Kind\":\"non_idempotent\",\"TimeoutMs\":4000,\"SloMs\":600,\"Priority\":2,\"Service\":\"svc\",\"Attempts\":1}],"
            + "\"Services\":[{\"Name\":\"svc\",\"HealthPath\":\"/healthz\",\"MaxConns\":110,\"ColdS\":0.0,\"ColdPerS\":0.0}],"
            + Kit.limits() + "}");
        engine.announce("ready");
        Kit.Ports ports = new Kit.Ports();
        Kit.Gateway gateway = new Kit.Gateway(2, "zone-a", zones, ports, store.port(), java.util.List.of("127.0.0.2:1"));
        gateway.start();
        Kit.await("gateway is ready", 20_000, gateway::isReady);
        Kit.sleep(1_500);
        int broken = 0;
        for (int i = 0; i < CALLS; i++) {
            String id = "request-" + i;
            Kit.Answer answer = Kit.call(gateway.host, ports.callers, "POST", "/pay/" + i, Map.of("Host", "shop.example",
                "X-Pomeloladder-Request-Id", id, "X-Pomeloladder-Deadline-Ms", "4000"), new byte[bodyBytes], 5_000);
            boolean isWrong = answer.isComplete && answer.status == 200 && answer.body.size() != ANSWER_BYTES;
            if (isWrong) broken++;
            Kit.log(id + ": sent " + bodyBytes + " bytes; " + answer + "; the engine's whole answer has " + ANSWER_BYTES
                + " bytes" + (isWrong ? "; MIXED: a part was delivered as the whole answer" : ""));
            if (!Kit.TROUBLE && (answer.status != 200 || answer.body.size() != ANSWER_BYTES)) return Kit.NOT_RUN;
        }
        for (String line : gateway.logLines("\"411\"", "send ended")) Kit.note(line);
        Kit.log(broken + " of " + CALLS + " answers were broken off and looked complete");
        return broken > 0 ? Kit.BROKEN : Kit.HELD;
    }
}
