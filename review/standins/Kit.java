import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the scripts of the review share: the gateway as processes of its own, started with the command
 * and the settings template of the deploy file, and stand-ins for the store, engines and clients.
 * Every socket is bound to a loopback address.
 */
final class Kit {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int NOT_RUN = 2;
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final long START_NANOS = System.nanoTime();
    private static final List<Gateway> GATEWAYS = new ArrayList<>();
    private static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(1, task -> {
        Thread thread = new Thread(task, "timer");
        thread.setDaemon(true);
        return thread;
    });
    private static PrintWriter record;
    private static Path temp;

    private Kit() {}

    interface Case {
        int run() throws Exception;
    }

    /** Runs [body], ends every process that it started and exits with its result. */
    static void main(Path folder, Case body) throws Exception {
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        temp = Files.createTempDirectory("review-");
        Runtime.getRuntime().addShutdownHook(new Thread(Kit::cleanUp));
        Thread limit = new Thread(() -> {
            sleep(115_000);
            log("the case took longer than 115 s");
            Runtime.getRuntime().exit(NOT_RUN);
        });
        limit.setDaemon(true);
        limit.start();
        int code;
        try {
            log("TROUBLE=" + (TROUBLE ? 1 : 0));
            code = body.run();
        } catch (Exception e) {
            log("could not run: " + e);
            e.printStackTrace();
            code = NOT_RUN;
            for (Gateway gateway : GATEWAYS) note(gateway.host + ":\n" + Files.readString(gateway.output));
        }
        log(code == HELD ? "result: the rule held" : code == BROKEN ? "result: the rule was broken" : "result: not run");
        Runtime.getRuntime().exit(code);
    }

    private static void cleanUp() {
        for (Gateway gateway : GATEWAYS) gateway.kill();
        try (var paths = Files.walk(temp)) {
            paths.sorted((a, b) -> b.compareTo(a)).forEach(p -> p.toFile().delete());
        } catch (IOException e) {
            System.err.println(e);
        }
    }

    static long nowMs() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    static synchronized void log(String text) {
        String line = String.format(Locale.ROOT, "%7d ms  %s", nowMs(), text);
        System.out.println(line);
        record.println(line);
    }

    /** Writes to the record only. */
    static synchronized void note(String text) {
        record.println(String.format(Locale.ROOT, "%7d ms  %s", nowMs(), text));
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread start(String name, Case body) {
        Thread thread = new Thread(null, () -> {
            try {
                body.run();
            } catch (IOException e) {
                // The other side closed or reset the connection.
            } catch (Exception e) {
                log(name + " failed: " + e);
            }
        }, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void await(String what, long timeoutMs, java.util.concurrent.Callable<Boolean> condition) throws Exception {
        long endMs = nowMs() + timeoutMs;
        while (!condition.call()) {
            if (nowMs() > endMs) throw new IllegalStateException("timed out: " + what);
            sleep(50);
        }
    }

    private static int nextPort = 10_000 + 20 * ThreadLocalRandom.current().nextInt(1_000);

    /**
     * Returns a port that is free on all addresses of a case. It lies below the range from which the system
     * takes the ports of outgoing connections.
     */
    static int freePort() throws IOException {
        return freePorts(1);
    }

    private static synchronized int freePorts(int count) throws IOException {
        while (true) {
            int first = nextPort;
            nextPort = nextPort > 31_000 ? 10_000 : nextPort + count;
            try {
                for (int host = 1; host < 6; host++) {
                    for (int port = first; port < first + count; port++) {
                        InetSocketAddress address = new InetSocketAddress("127.0.0." + host, port);
                        new DatagramSocket(address).close();
                        new ServerSocket(port, 1, address.getAddress()).close();
                    }
                }
                return first;
            } catch (BindException e) {
                // Another program uses one of these ports.
            }
        }
    }

    // ---- HTTP ----

    static final class Message {
        String first = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name);
        }

        String id() {
            return headers.getOrDefault("X-Pomeloladder-Request-Id", "");
        }
    }

    /** Reads a head, or returns null if the connection ends before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int b = in.read();
            if (b < 0) {
                if (bytes.size() == 0) return null;
                throw new EOFException("connection ended within a head");
            }
            bytes.write(b);
            matched = b == "\r\n\r\n".charAt(matched) ? matched + 1 : b == '\r' ? 1 : 0;
        }
        String[] lines = bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Message message = new Message();
        message.first = lines[0];
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            message.headers.put(lines[i].substring(0, colon).trim(), lines[i].substring(colon + 1).trim());
        }
        return message;
    }

    static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("body ended after " + bytes.length + " of " + length);
        return bytes;
    }

    // ---- store ----

    /** The platform's store: revisions, one page per range call, watches. */
    static final class Store {
        private record Item(String key, String value, long rev, long ms) {}

        /** Changes are kept for HistoryS. */
        private static final int HISTORY_MS = 20_000;

        final ServerSocket server = new ServerSocket();
        private final TreeMap<String, Item> items = new TreeMap<>();
        private final List<Item> history = new ArrayList<>();
        private long revision = 1;
        private long droppedRevision = 0;

        /** While true, the store reads calls and answers nothing. */
        volatile boolean isSilent = false;

        Store() throws IOException {
            server.bind(new InetSocketAddress("127.0.0.1", 0));
            start("store", () -> {
                while (true) {
                    Socket socket = server.accept();
                    start("store call", () -> serve(socket));
                }
            });
        }

        int port() {
            return server.getLocalPort();
        }

        synchronized void put(String key, String value) {
            write(new Item(key, value, ++revision, nowMs()));
        }

        synchronized void remove(String key) {
            write(new Item(key, null, ++revision, nowMs()));
        }

        private void write(Item item) {
            if (item.value == null) items.remove(item.key); else items.put(item.key, item);
            history.add(item);
            notifyAll();
        }

        private int serve(Socket socket) throws IOException {
            try (socket) {
                while (true) {
                    Message request = readHead(socket.getInputStream());
                    if (request == null) return 0;
                    String uri = request.first.split(" ")[1];
                    while (isSilent) sleep(50);
                    String body = uri.startsWith("/pomeloladder/kv-range") ? range() : watch(uri);
                    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                    if (bytes.length > 100_000) note("store answers " + uri + " with " + bytes.length + " bytes");
                    String head = "HTTP/1.1 " + (bytes.length == 0 ? "410 Gone" : "200 OK") + "\r\nContent-Type: application/json\r\nContent-Length: "
                        + bytes.length + "\r\n\r\n";
                    while (isSilent) sleep(50);
                    socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
                    socket.getOutputStream().write(bytes);
                }
            }
        }

        private synchronized String range() {
            return "{\"items\":[" + json(new ArrayList<>(items.values())) + "],\"MorePages\":false,\"CurrentRev\":"
                + revision + "}";
        }

        private synchronized String watch(String uri) throws IOException {
            long after = Long.parseLong(query(uri, "after"));
            long endMs = nowMs() + Long.parseLong(query(uri, "WaitMs"));
            while (nowMs() < endMs && revision <= after) {
                try {
                    wait(Math.max(1, endMs - nowMs()));
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
            while (!history.isEmpty() && history.get(0).ms < nowMs() - HISTORY_MS) droppedRevision = history.remove(0).rev;
            if (after < droppedRevision) return "";
            return "{\"events\":[" + json(history.stream().filter(i -> i.rev > after).toList()) + "],\"CurrentRev\":"
                + revision + "}";
        }

        private static String query(String uri, String name) {
            Matcher matcher = Pattern.compile("[?&]" + name + "=([^&]*)").matcher(uri);
            return matcher.find() ? matcher.group(1) : "0";
        }

        private static String json(List<Item> list) {
            List<String> parts = new ArrayList<>();
            for (Item item : list) {
                String rest = item.value == null
                    ? "\"Removed\":true"
                    : "\"Value\":\"" + Base64.getEncoder().encodeToString(item.value.getBytes(StandardCharsets.UTF_8)) + "\"";
                parts.add("{\"Key\":\"" + item.key + "\",\"Rev\":" + item.rev + "," + rest + "}");
            }
            return String.join(",", parts);
        }
    }

    // ---- proxy ----

    /** Passes TCP connections on to [port]. Connections open at [silence] go silent for good. */
    static final class Proxy {
        final ServerSocket server = new ServerSocket();
        private final List<boolean[]> open = new ArrayList<>();

        Proxy(int port) throws IOException {
            server.bind(new InetSocketAddress("127.0.0.1", 0));
            start("proxy", () -> {
                while (true) {
                    Socket inner = server.accept();
                    Socket outer = new Socket("127.0.0.1", port);
                    boolean[] isSilent = new boolean[1];
                    synchronized (open) {
                        open.add(isSilent);
                    }
                    start("proxy up", () -> pump(inner, outer, isSilent));
                    start("proxy down", () -> pump(outer, inner, isSilent));
                }
            });
        }

        int port() {
            return server.getLocalPort();
        }

        void silence() {
            synchronized (open) {
                for (boolean[] flag : open) flag[0] = true;
                open.clear();
            }
        }

        private static int pump(Socket from, Socket to, boolean[] isSilent) throws IOException {
            byte[] buffer = new byte[65_536];
            while (true) {
                int count = from.getInputStream().read(buffer);
                if (isSilent[0]) {
                    if (count < 0) return 0;
                    continue;
                }
                if (count < 0) {
                    to.close();
                    return 0;
                }
                to.getOutputStream().write(buffer, 0, count);
            }
        }
    }

    // ---- engine ----

    /** One request at an engine. */
    static final class Exchange {
        final Engine engine;
        final Socket socket;
        final Message request;

        Exchange(Engine engine, Socket socket, Message request) {
            this.engine = engine;
            this.socket = socket;
            this.request = request;
        }

        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        String head(int status, String reason) {
            return "HTTP/1.1 " + status + " " + reason + "\r\nX-Pomeloladder-Request-Id: " + request.id()
                + "\r\nX-Pomeloladder-Server-Stamp: stamp-" + engine.id + "\r\nKeep-Alive: timeout=5\r\n";
        }

        void answer(int status, String extraHeaders, String body) throws IOException {
            write(head(status, "X") + extraHeaders + "Content-Length: " + body.length() + "\r\n\r\n" + body);
        }
    }

    /** Answers a request; an exception closes the connection. */
    interface Handler {
        void handle(Exchange exchange) throws Exception;
    }

    /** An engine: a listener with an id and an entry in the store. */
    static class Engine {
        volatile String id;
        final String service;
        final String zone;
        final Store store;
        final int port;
        final Handler handler;
        volatile boolean readsBody = true;
        volatile int receiveBuffer = 0;
        volatile long coldUntilMs = 0;
        volatile long born = System.currentTimeMillis();
        private ServerSocket server;
        private final List<Socket> sockets = new ArrayList<>();
        private int seq = 0;

        Engine(String id, String service, String zone, Store store, Handler handler) throws IOException {
            this.id = id;
            this.service = service;
            this.zone = zone;
            this.store = store;
            this.handler = handler;
            this.port = freePort();
        }

        String entry(String state, long coldLeftMs) {
            return "{\"Service\":\"" + service + "\",\"Address\":\"127.0.0.1:" + port + "\",\"Zone\":\"" + zone
                + "\",\"Version\":\"v1\",\"Slots\":64,\"State\":\"" + state + "\",\"ColdLeftMs\":" + coldLeftMs
                + ",\"Seq\":" + (++seq) + ",\"born\":" + born + "}";
        }

        void announce(String state) {
            store.put("servers/" + id, entry(state, Math.max(0, coldUntilMs - nowMs())));
        }

        synchronized void open() throws IOException {
            server = new ServerSocket();
            server.setReuseAddress(true);
            if (receiveBuffer > 0) server.setReceiveBufferSize(receiveBuffer);
            server.bind(new InetSocketAddress("127.0.0.1", port), 512);
            ServerSocket current = server;
            Kit.start("engine " + id, () -> {
                while (true) {
                    Socket socket = current.accept();
                    synchronized (this) {
                        sockets.add(socket);
                    }
                    Kit.start("engine call", () -> serve(socket));
                }
            });
        }

        /** Ends the engine as a crash does: every connection is reset and the port refuses new ones. */
        synchronized void crash() throws IOException {
            server.close();
            for (Socket socket : sockets) reset(socket);
            sockets.clear();
        }

        private int serve(Socket socket) throws Exception {
            try (socket) {
                socket.setTcpNoDelay(true);
                while (true) {
                    Message request = readHead(socket.getInputStream());
                    if (request == null) return 0;
                    if (readsBody) readBody(socket, request);
                    Exchange exchange = new Exchange(this, socket, request);
                    String uri = request.first.split(" ")[1];
                    String expected = request.header("X-Pomeloladder-Expect-Instance");
                    if (uri.equals("/healthz")) {
                        long coldMs = Math.max(0, coldUntilMs - nowMs());
                        exchange.answer(200, "X-Pomeloladder-Instance-Id: " + id + "\r\nX-Pomeloladder-Server-Load: 1,0,64\r\n"
                            + (coldMs > 0 ? "X-Pomeloladder-Cold-Ms: " + coldMs + "\r\n" : ""), "");
                    } else if (expected != null && !expected.equals(id)) {
                        exchange.answer(421, "X-Pomeloladder-Instance-Id: " + id + "\r\n", "");
                    } else {
                        handler.handle(exchange);
                    }
                }
            } finally {
                synchronized (this) {
                    sockets.remove(socket);
                }
            }
        }
    }

    static void readBody(Socket socket, Message request) throws IOException {
        String length = request.header("Content-Length");
        if (length != null) request.body = readFully(socket.getInputStream(), Integer.parseInt(length));
    }

    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }

    // ---- client ----

    static final class Answer {
        int status = 0;
        Message head;
        final ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean isComplete = false;
        String failure = "";
        long tookMs = 0;
        long firstByteMs = -1;

        @Override
        public String toString() {
            return "status=" + status + " complete=" + isComplete + " bodyBytes=" + body.size() + " tookMs=" + tookMs
                + (failure.isEmpty() ? "" : " failure=" + failure);
        }
    }

    /** Sends one request on a new connection and reads its answer. */
    static Answer call(String host, int port, String method, String path, Map<String, String> headers, byte[] body,
            int timeoutMs) {
        Answer answer = new Answer();
        long startMs = nowMs();
        try (Socket socket = new Socket()) {
            // A blocked write has no time limit of its own.
            var giveUp = TIMER.schedule(() -> reset(socket), timeoutMs + 1_000, TimeUnit.MILLISECONDS);
            socket.connect(new InetSocketAddress(host, port), 1_000);
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (body.length > 0) head.append("Content-Length: ").append(body.length).append("\r\n");
            head.append("\r\n");
            OutputStream out = socket.getOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            InputStream in = socket.getInputStream();
            answer.head = readHead(in);
            if (answer.head == null) throw new EOFException("closed without an answer");
            answer.firstByteMs = nowMs() - startMs;
            answer.status = Integer.parseInt(answer.head.first.split(" ")[1]);
            readAnswerBody(in, answer);
            answer.isComplete = true;
            giveUp.cancel(false);
        } catch (IOException e) {
            answer.failure = e.toString();
        }
        answer.tookMs = nowMs() - startMs;
        return answer;
    }

    private static void readAnswerBody(InputStream in, Answer answer) throws IOException {
        String length = answer.head.header("Content-Length");
        if (length != null) {
            answer.body.write(readFully(in, Integer.parseInt(length)));
            return;
        }
        while (true) {
            StringBuilder line = new StringBuilder();
            int b;
            while ((b = in.read()) != '\n') {
                if (b < 0) throw new EOFException("connection ended within the answer");
                if (b != '\r') line.append((char) b);
            }
            int size = Integer.parseInt(line.toString().trim(), 16);
            answer.body.write(readFully(in, size));
            readFully(in, 2);
            if (size == 0) return;
        }
    }

    // ---- gateway ----

    /** The ports that all gateways of a case use, each on a loopback address of its own. */
    static final class Ports {
        final int callers = freePort();
        final int readiness = freePort();
        final int directory = freePort();
        final int metrics = freePort();
        final int peers = freePorts(16);

        Ports() throws IOException {}
    }

    /** One gateway process, started with the command of the deploy file. */
    static final class Gateway {
        final String host;
        final String zone;
        final String region;
        final Ports ports;
        final int storePort;
        final Map<String, String> zones;
        List<String> seeds;
        final Path settings;
        final Path output;
        private Process process;

        Gateway(int number, String zone, Map<String, String> zones, Ports ports, int storePort, List<String> seeds) {
            this.host = "127.0.0." + number;
            this.zone = zone;
            this.zones = zones;
            this.region = zones.get(zone);
            this.ports = ports;
            this.storePort = storePort;
            this.seeds = seeds;
            this.settings = temp.resolve("front-" + number + ".conf");
            this.output = temp.resolve("front-" + number + ".log");
            GATEWAYS.add(this);
        }

        void writeSettings() throws IOException {
            Map<String, String> values = new LinkedHashMap<>();
            values.put("Node", "front-" + host);
            values.put("Region", region);
            values.put("Zone", zone);
            values.put("Zones|json", jsonMap(zones));
            values.put("Ip", host);
            values.put("Listen.Front", host + ":" + ports.callers);
            values.put("Listen.ReadyAddress", host + ":" + ports.readiness);
            values.put("Listen.Directory", host + ":" + ports.directory);
            values.put("PortRange.0", "" + ports.peers);
            values.put("PortRange.1", "" + (ports.peers + 15));
            values.put("Seeds|json", "[" + String.join(",", seeds.stream().map(s -> "\"" + s + "\"").toList()) + "]");
            values.put("Provider.Address", "127.0.0.1:" + storePort);
            values.put("Bounds.RetryRatio", "0.2");
            values.put("Bounds.BudgetWindowS", "10");
            values.put("Bounds.RetrySlack", "56");
            values.put("Bounds.ColdOverage", "1.5");
            values.put("Bounds.ColdSlack", "3");
            values.put("Bounds.DrainMs", "4000");
            values.put("Bounds.GraceS", "8");
            values.put("Bounds.ttl_max_s", "5");
            String text = Files.readString(Path.of("deploy/settings.yaml"));
            for (Map.Entry<String, String> value : values.entrySet()) {
                text = text.replace("{{" + value.getKey() + "}}", value.getValue());
            }
            text = text.replace("metricsPort: 9464", "metricsPort: " + ports.metrics);
            if (text.contains("{{")) throw new IOException("the settings template has an unknown field:\n" + text);
            Files.writeString(settings, text);
        }

        private static String jsonMap(Map<String, String> map) {
            List<String> parts = new ArrayList<>();
            map.forEach((key, value) -> parts.add("\"" + key + "\":\"" + value + "\""));
            return "{" + String.join(",", parts) + "}";
        }

        void start() throws IOException {
            writeSettings();
            Matcher command = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
            if (!command.find()) throw new IOException("no command in the deploy file");
            ProcessBuilder builder = new ProcessBuilder(Arrays.asList(command.group(1).split(" ")));
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("POMELOLADDER_BOOT", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
            process = builder.start();
            log("gateway " + host + " started, pid " + process.pid());
        }

        boolean isReady() {
            return call(host, ports.readiness, "GET", "/pomeloladder/readyz", Map.of("Host", host), new byte[0], 1_000)
                .status == 200;
        }

        String lookUp() {
            return call(host, ports.directory, "GET", "/pomeloladder/lookup?Name=shop.example&Region=" + region + "&Zone="
                + zone, Map.of("Host", host), new byte[0], 1_000).body.toString(StandardCharsets.UTF_8);
        }

        boolean isAlive() {
            return process.isAlive();
        }

        long pid() {
            return process.pid();
        }

        int exitValue() {
            return process.exitValue();
        }

        void signal(String name) throws Exception {
            new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
        }

        void kill() {
            if (process == null) return;
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** Lines of the log that contain one of [words]. */
        List<String> logLines(String... words) throws IOException {
            List<String> found = new ArrayList<>();
            for (String line : Files.readString(output).split("\n")) {
                for (String word : words) {
                    if (line.contains(word)) {
                        // A comma in the time of day keeps it apart from an address.
                        found.add(line.replaceFirst("(T[0-9:]{8})\\.", "$1,"));
                        break;
                    }
                }
            }
            return found;
        }
    }

    static String limits() {
        return "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}";
    }

    static final Map<String, Integer> COUNTS = new ConcurrentHashMap<>();

    static int count(String name) {
        return COUNTS.merge(name, 1, Integer::sum);
    }

    static int counted(String name) {
        return COUNTS.getOrDefault(name, 0);
    }
}
