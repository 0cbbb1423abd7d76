import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * ORDER. An engine of a service without a limit for cold engines starts again under its id with another
 * version of its software while the store is silent, and crashes in the midst of its streams. Fails if
 * more than two streams hold events of both versions.
 */
final class MixedVersions implements Case {
    private static final int CALLERS = 60;
    private static final int SLOTS = 8;
    private static final int OTHER_ENGINES = 5;
    private static final int SERVE_MS = 13_000;
    private static final int STORE_SILENT_MS = 4_500;
    private static final String CONFIG = "{\"Version\":1,\"Routes\":[{\"Name\":\"brief\",\"Host\":\"shop.example\","
        + "\"Prefix\":\"/brief/\",\"Kind\":\"streaming\",\"TimeoutMs\":5000,\"SloMs\":1000,\"Priority\":1,"
        + "\"Service\":\"llm\",\"Attempts\":2,\"Sticky\":true,\"CanResume\":true,\"GapAimMs\":600}],"
        + "\"Services\":[{\"Name\":\"llm\",\"HealthPath\":\"/healthz\",\"MaxConns\":370,\"ColdS\":0.0,"
        + "\"ColdPerS\":0.0,\"Engine\":{\"Slots\":" + SLOTS + ",\"KvCapacity\":314009}}],\"Limits\":{\"MaxHeaderBytes\":16384,"
        + "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";

    private record Stream(String id, int events, Set<String> versions, boolean isComplete) {}

    private final Record record;
    private final boolean hasTrouble;
    private final ConcurrentLinkedQueue<Stream> streams = new ConcurrentLinkedQueue<>();
    private volatile boolean isRunning = true;

    MixedVersions(Record record, boolean hasTrouble) {
        this.record = record;
        this.hasTrouble = hasTrouble;
    }

    @Override
    public int run(Path directory) throws Exception {
        String net = "127." + (20 + new Random().nextInt(200)) + "." + new Random().nextInt(250) + ".";
        StoreStandIn store = new StoreStandIn(net + "1");
        Engine first = new Engine("i-first", net + "101", 0, new StreamEngine("v1"));
        store.put("op/config", CONFIG);
        store.put("servers/i-first", first.entry("llm", "north-a", "v1", System.currentTimeMillis(), SLOTS));
        for (int number = 0; number < OTHER_ENGINES; number++) {
            Engine other = new Engine("i-other-" + number, net + (102 + number), 0, new StreamEngine("v1"));
            store.put("servers/" + other.id, other.entry("llm", "north-a", "v1", System.currentTimeMillis(), SLOTS));
        }
        try (Gateway gateway = new Gateway(directory, net + "2", "north", Map.of("north-a", "north"),
            List.of(net + "2"), store.address())) {
            gateway.start();
            if (!gateway.awaitReady(20_000)) return NOT_RUN;
            for (int caller = 0; caller < CALLERS; caller++) {
                int number = caller;
                Engine.thread(() -> call(gateway, number));
            }
            Thread.sleep(SERVE_MS);
            if (hasTrouble) trouble(store, first);
            Thread.sleep(6_000);
            isRunning = false;
            Thread.sleep(3_000);
        }
        return judge();
    }

    private void trouble(StoreStandIn store, Engine first) throws Exception {
        long startedMs = System.currentTimeMillis();
        record.line("the store falls silent");
        store.setSilent(true);
        int port = first.port();
        String host = first.address().split(":")[0];
        record.line("i-first crashes");
        first.crash();
        Thread.sleep(1_000);
        Engine again = new Engine("i-first", host, port, new StreamEngine("v2"));
        record.line("i-first has started again as v2 and can't write to the store");
        Thread.sleep(3_200);
        record.line("i-first crashes");
        again.crash();
        Thread.sleep(Math.max(0, startedMs + STORE_SILENT_MS - System.currentTimeMillis()));
        store.remove("servers/i-first");
        store.setSilent(false);
        record.line("the store answers again");
    }

    private void call(Gateway gateway, int number) {
        Random random = new Random(number);
        for (int count = 0; isRunning; count++) {
            String id = "s" + number + "-" + count;
            Set<String> versions = new TreeSet<>();
            int events = 0;
            boolean isComplete = false;
            try (Caller caller = new Caller(gateway.ip, gateway.frontPort())) {
                String headers = "X-Pomeloladder-Model: m\r\nX-Pomeloladder-Token-Count: 800,40\r\n"
                    + "X-Pomeloladder-Prompt-Prefix: a1:600," + Integer.toHexString(1_000 + number * 1_000 + count)
                    + ":200\r\n";
                caller.send("POST", "/brief/x", id, 5_000, headers, new byte[100]);
                caller.socket().setSoTimeout(5_000);
                Http.Head head = Http.readHead(caller.in());
                if (head != null && head.status() == 200) {
                    EventReader reader = new EventReader(caller.in());
                    for (String event = reader.next(); event != null; event = reader.next()) {
                        events++;
                        versions.add(event.replaceAll("(?s).*data: (\\S+).*", "$1"));
                    }
                    isComplete = true;
                } else {
                    record.line(id + " got " + (head == null ? "no answer" : head.firstLine()));
                }
            } catch (IOException e) {
                record.line(id + " broke off: " + e);
            }
            Stream stream = new Stream(id, events, versions, isComplete);
            streams.add(stream);
            record.line(stream.toString());
            try {
                Thread.sleep(random.nextInt(300));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private int judge() {
        long complete = streams.stream().filter(Stream::isComplete).count();
        List<Stream> mixed = new ArrayList<>(streams.stream().filter(s -> s.versions.size() > 1).toList());
        long ofSecondVersion = streams.stream().filter(s -> s.versions.contains("v2")).count();
        record.result(streams.size() + " streams, " + complete + " complete, " + ofSecondVersion + " with events of v2, "
            + mixed.size() + " with events of both versions");
        if (complete < 50) return NOT_RUN;
        return mixed.size() > 2 ? BROKEN : HELD;
    }
}
