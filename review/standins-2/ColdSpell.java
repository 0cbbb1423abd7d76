import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;

/**
 * LOST. All engines run one version of their software and none starts again. They become cold again once,
 * for the time that the configuration names. Later some reset a part of their streams, and clients take
 * these up. Fails if the share of 12 or more take-ups that go on is under half of the share of new streams
 * that begin.
 */
final class ColdSpell implements Case {
    private static final int ENGINES = 8;
    private static final int GATEWAYS = 3;
    private static final int SLOTS = 64;
    private static final int COLD_MS = 3_000;
    private static final int HEARTBEAT_MS = 1_200;
    private static final int EVENTS = 9;
    private static final int EVENT_GAP_MS = 23;
    private static final int CALLERS = 20;
    private static final int MEAN_PAUSE_MS = 600;
    private static final int DEADLINE_MS = 5_000;

    /** One engine of eight resets this part of its streams, as in the site's list of troubles. */
    private static final double RESET_SHARE = 0.45;
    private static final int RESET_MS = 2_500;
    private static final int EPISODES = 22;
    private static final int BEFORE_COLD_MS = 12_000;
    private static final int SPELLS = 1;
    private static final int SPELL_INTERVAL_MS = 6_000;
    private static final int AFTER_COLD_MS = 9_000;

    private static final int MIN_TAKE_UPS = 12;
    private static final String CONFIG = "{\"Version\":1,\"Routes\":[{\"Name\":\"brief\",\"Host\":\"shop.example\","
        + "\"Prefix\":\"/brief/\",\"Kind\":\"streaming\",\"TimeoutMs\":5000,\"SloMs\":1000,\"Priority\":1,"
        + "\"Service\":\"llm\",\"Attempts\":2,\"Sticky\":true,\"CanResume\":true,\"GapAimMs\":600}],"
        + "\"Services\":[{\"Name\":\"llm\",\"HealthPath\":\"/healthz\",\"MaxConns\":370,\"ColdS\":3.0,"
        + "\"ColdPerS\":2.7,\"Engine\":{\"Slots\":64,\"KvCapacity\":314009}}],\"Limits\":{\"MaxHeaderBytes\":16384,"
        + "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";

    private record Attempt(boolean isTakeUp, boolean hasEvents) {}

    private final Record record;
    private final boolean hasTrouble;
    private final ConcurrentLinkedQueue<Attempt> attempts = new ConcurrentLinkedQueue<>();
    private final List<Engine> engines = new ArrayList<>();
    private volatile boolean isRunning = true;
    private volatile boolean isCounting;
    private volatile Engine resetting;

    ColdSpell(Record record, boolean hasTrouble) {
        this.record = record;
        this.hasTrouble = hasTrouble;
    }

    @Override
    public int run(Path directory) throws Exception {
        String net = "127." + (20 + new Random().nextInt(200)) + "." + (10 + new Random().nextInt(200)) + ".";
        StoreStandIn store = new StoreStandIn(net + "1");
        store.put("op/config", CONFIG);
        long bornMs = System.currentTimeMillis();
        for (int number = 0; number < ENGINES; number++) {
            engines.add(new Engine("i-" + number, net + (100 + number), 0, this::serve));
        }
        engines.forEach(engine -> Engine.thread(() -> beat(store, engine, bornMs)));
        List<Gateway> gateways = new ArrayList<>();
        List<String> seeds = List.of(net + "2", net + "3", net + "4");
        for (int number = 0; number < GATEWAYS; number++) {
            gateways.add(new Gateway(directory, net + (2 + number), "north", Map.of("north-a", "north"), seeds,
                store.address()));
        }
        try {
            for (Gateway gateway : gateways) gateway.start();
            for (Gateway gateway : gateways) if (!gateway.awaitReady(20_000)) return NOT_RUN;
            for (int number = 0; number < CALLERS; number++) {
                int caller = number;
                Engine.thread(() -> call(gateways, caller));
            }
            Thread.sleep(BEFORE_COLD_MS);
            for (int spell = 0; spell < SPELLS; spell++) {
                if (hasTrouble) {
                    record.line("all engines become cold for " + COLD_MS + " ms");
                    for (Engine engine : engines) engine.becomeCold(COLD_MS);
                }
                Thread.sleep(SPELL_INTERVAL_MS);
            }
            Thread.sleep(AFTER_COLD_MS);
            isCounting = true;
            for (int episode = 0; episode < EPISODES; episode++) {
                resetting = engines.get(episode % ENGINES);
                record.line(resetting.id + " resets " + RESET_SHARE + " of its streams for " + RESET_MS + " ms");
                Thread.sleep(RESET_MS);
            }
            resetting = null;
            isRunning = false;
            Thread.sleep(2_000);
            for (Gateway gateway : gateways) if (!gateway.isAlive()) record.result(gateway.ip + " has ended");
        } finally {
            gateways.forEach(Gateway::close);
        }
        return judge();
    }

    /** Writes the entry of [engine] as it changes, and at every heartbeat. */
    private void beat(StoreStandIn store, Engine engine, long bornMs) {
        for (int seq = 1; isRunning; seq++) {
            store.put("servers/" + engine.id, engine.entry("llm", "north-a", "v1", bornMs, SLOTS, engine.coldLeftMs(), seq));
            try {
                Thread.sleep(HEARTBEAT_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private boolean serve(Engine engine, Http.Message request, Socket socket) throws IOException {
        String id = request.head().headers().get("x-pomeloladder-request-id");
        int last = Integer.parseInt(request.head().headers().getOrDefault("last-event-id", "0"));
        boolean isReset = engine == resetting && ThreadLocalRandom.current().nextDouble() < RESET_SHARE;
        record.line(engine.id + " runs " + id + " after event " + last + (isReset ? " and will reset it" : ""));
        OutputStream out = socket.getOutputStream();
        String head = "HTTP/1.1 200 OK\r\nX-Pomeloladder-Request-Id: " + id + "\r\nX-Pomeloladder-Server-Stamp: s."
            + engine.id + "\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=20\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        for (int event = last + 1; event <= EVENTS; event++) {
            try {
                Thread.sleep(EVENT_GAP_MS);
            } catch (InterruptedException e) {
                return false;
            }
            if (isReset && event == last + 4) {
                socket.setSoLinger(true, 0);
                socket.close();
                return false;
            }
            String text = "id: " + event + "\ndata: v1\n\n";
            out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        return true;
    }

    private void call(List<Gateway> gateways, int number) {
        Random random = new Random(number);
        for (int count = 0; isRunning; count++) {
            String id = "s" + number + "-" + count;
            String parts = Integer.toHexString(0x5c1e07a0 + random.nextInt(4)) + ":600,"
                + Integer.toHexString(0x41bd0000 + random.nextInt(333)) + ":200,"
                + Integer.toHexString(0x10000 + number * 0x1000 + count) + ":200";
            String headers = "X-Pomeloladder-Model: m\r\nX-Pomeloladder-Token-Count: 1000,40\r\n"
                + "X-Pomeloladder-Prompt-Prefix: " + parts + "\r\n";
            int last = attempt(gateways.get(random.nextInt(gateways.size())), id, headers, 0, false);
            if (last > 0 && last < EVENTS) {
                String more = headers + "Last-Event-Id: " + last + "\r\nResumes: " + id + "\r\n";
                attempt(gateways.get(random.nextInt(gateways.size())), id + "-again", more, last, true);
            }
            try {
                Thread.sleep((long) (-MEAN_PAUSE_MS * Math.log(1 - random.nextDouble())));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Returns the id of the last event that the caller has. */
    private int attempt(Gateway gateway, String id, String headers, int after, boolean isTakeUp) {
        int last = after;
        boolean isCounted = isCounting;
        try (Caller caller = new Caller(gateway.ip, gateway.frontPort())) {
            caller.send("POST", "/brief/x", id, DEADLINE_MS, headers, new byte[100]);
            caller.socket().setSoTimeout(DEADLINE_MS);
            Http.Head head = Http.readHead(caller.in());
            if (head == null || head.status() != 200) {
                record.line(id + " got " + (head == null ? "no answer" : head.firstLine()));
            } else {
                EventReader reader = new EventReader(caller.in());
                for (String event = reader.next(); event != null; event = reader.next()) {
                    last = Integer.parseInt(event.replaceAll("(?s).*id: (\\d+).*", "$1"));
                }
                record.line(id + " got all events up to " + last);
            }
        } catch (IOException e) {
            record.line(id + " broke off after event " + last + ": " + e.getMessage());
        }
        if (isCounted) attempts.add(new Attempt(isTakeUp, last > after));
        return last;
    }

    private int judge() {
        long takeUps = attempts.stream().filter(Attempt::isTakeUp).count();
        long goOn = attempts.stream().filter(a -> a.isTakeUp && a.hasEvents).count();
        long starts = attempts.stream().filter(a -> !a.isTakeUp).count();
        long begin = attempts.stream().filter(a -> !a.isTakeUp && a.hasEvents).count();
        record.result(begin + " of " + starts + " new streams began, " + goOn + " of " + takeUps + " taken up went on");
        if (begin * 2 < starts) return NOT_RUN;
        boolean isBroken = takeUps >= MIN_TAKE_UPS && (double) goOn / takeUps < 0.5 * begin / starts;
        return isBroken ? BROKEN : HELD;
    }
}
