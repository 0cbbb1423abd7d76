import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** The platform's store: lists and watches over keys that the test writes. It never loses a write. */
final class StoreStandIn implements AutoCloseable {
    private record Item(String key, byte[] value, long revision) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private long revision = 10;
    private volatile boolean isSilent;
    private final HttpServer server;

    StoreStandIn(String host) throws IOException {
        server = HttpServer.create(new InetSocketAddress(host, 0), 0);
        server.createContext("/", this::handle);
        server.setExecutor(Executors.newCachedThreadPool());
        server.start();
    }

    String address() {
        return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
    }

    synchronized void put(String key, String value) {
        Item item = new Item(key, value.getBytes(StandardCharsets.UTF_8), ++revision);
        items.put(key, item);
        history.add(item);
        notifyAll();
    }

    synchronized void remove(String key) {
        if (items.remove(key) == null) return;
        history.add(new Item(key, null, ++revision));
        notifyAll();
    }

    /** While it is silent, the store accepts connections and answers nothing. */
    void setSilent(boolean silent) {
        isSilent = silent;
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private void handle(HttpExchange exchange) throws IOException {
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        for (String pair : raw == null ? new String[0] : raw.split("&")) {
            int at = pair.indexOf('=');
            query.put(pair.substring(0, at), URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8));
        }
        String path = exchange.getRequestURI().getPath();
        String body = null;
        if (path.equals("/pomeloladder/kv-range")) body = range(query.getOrDefault("Prefix", ""));
        if (path.equals("/pomeloladder/kv-watch")) body = watch(query);
        while (isSilent) pause();
        byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(body == null ? 404 : 200, bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static void pause() {
        try {
            Thread.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized String range(String prefix) {
        List<String> found = new ArrayList<>();
        for (Item item : items.values()) if (item.key.startsWith(prefix)) found.add(json(item));
        return "{\"items\":[" + String.join(",", found) + "],\"MorePages\":false,\"CurrentRev\":" + revision + "}";
    }

    private synchronized String watch(Map<String, String> query) {
        long after = Long.parseLong(query.getOrDefault("after", "0"));
        String prefix = query.getOrDefault("Prefix", "");
        long endMs = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("WaitMs", "1000"));
        while (true) {
            List<String> found = new ArrayList<>();
            for (Item item : history) {
                if (item.revision > after && item.key.startsWith(prefix)) found.add(json(item));
            }
            long leftMs = endMs - System.currentTimeMillis();
            if (!found.isEmpty() || leftMs <= 0) {
                return "{\"events\":[" + String.join(",", found) + "],\"CurrentRev\":" + revision + "}";
            }
            try {
                wait(leftMs);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return null;
            }
        }
    }

    private static String json(Item item) {
        String key = "{\"Key\":\"" + item.key + "\",\"Rev\":" + item.revision;
        if (item.value == null) return key + ",\"Removed\":true}";
        String value = Base64.getEncoder().encodeToString(item.value);
        return key + ",\"Value\":\"" + value + "\",\"CreateRev\":" + item.revision + ",\"Lease\":0}";
    }
}
