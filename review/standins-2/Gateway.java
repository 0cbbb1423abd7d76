import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the system, started with the command and the settings template of the deploy file. */
final class Gateway implements AutoCloseable {
    private static final int FRONT = 8_144;
    private static final int READY = 8_140;
    private static final int CONTROL = 8_146;
    private static final int DIRECTORY = 8_143;

    final String ip;
    private final Path directory;
    private final Map<String, String> settings = new LinkedHashMap<>();
    private Process process;

    Gateway(Path directory, String ip, String region, Map<String, String> regionsOfZones, List<String> seedIps,
        String store) {
        this.directory = directory;
        this.ip = ip;
        List<String> zones = new ArrayList<>();
        regionsOfZones.forEach((zone, of) -> zones.add("\"" + zone + "\":\"" + of + "\""));
        List<String> seeds = new ArrayList<>();
        seedIps.forEach(seed -> seeds.add("\"" + seed + ":" + CONTROL + "\""));
        settings.put("Node", "front-" + ip);
        settings.put("Region", region);
        settings.put("Zone", region + "-a");
        settings.put("Zones|json", "{" + String.join(",", zones) + "}");
        settings.put("Ip", ip);
        settings.put("Listen.Front", ip + ":" + FRONT);
        settings.put("Listen.ReadyAddress", ip + ":" + READY);
        settings.put("Listen.Directory", ip + ":" + DIRECTORY);
        settings.put("PortRange.0", "7660");
        settings.put("PortRange.1", "7675");
        settings.put("Seeds|json", "[" + String.join(",", seeds) + "]");
        settings.put("Provider.Address", store);
        // The bounds of both small sites.
        settings.put("Bounds.RetryRatio", "0.2");
        settings.put("Bounds.BudgetWindowS", "10");
        settings.put("Bounds.RetrySlack", "56");
        settings.put("Bounds.ColdOverage", "1.5");
        settings.put("Bounds.ColdSlack", "3");
        settings.put("Bounds.ConfigMs", "4000");
        settings.put("Bounds.DrainMs", "4000");
        settings.put("Bounds.GraceS", "8");
        settings.put("Bounds.ttl_max_s", "5");
    }

    int frontPort() {
        return FRONT;
    }

    long pid() {
        return process.pid();
    }

    void start() throws IOException {
        String text = Files.readString(Path.of("deploy/settings.yaml"));
        for (Map.Entry<String, String> entry : settings.entrySet()) {
            text = text.replace("{{" + entry.getKey() + "}}", entry.getValue());
        }
        if (text.contains("{{")) throw new IOException("unknown placeholder in the template:\n" + text);
        Path file = directory.resolve("settings-" + ip + ".yaml");
        Files.writeString(file, text);
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new IOException("no command in the deploy file");
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" ")).redirectErrorStream(true);
        File log = directory.resolve("gateway-" + ip + ".log").toFile();
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        builder.environment().put("POMELOLADDER_BOOT", file.toString());
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    boolean awaitReady(long timeoutMs) throws InterruptedException {
        long endMs = System.currentTimeMillis() + timeoutMs;
        while (System.currentTimeMillis() < endMs) {
            if (isReady()) return true;
            Thread.sleep(100);
        }
        return false;
    }

    boolean isReady() {
        try {
            URI uri = URI.create("http://" + ip + ":" + READY + "/pomeloladder/readyz");
            HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
            connection.setConnectTimeout(1_000);
            connection.setReadTimeout(1_000);
            return connection.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** The exit code, or null while the process runs. */
    Integer exitCode() {
        return process.isAlive() ? null : process.exitValue();
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    String log() throws IOException {
        return Files.readString(directory.resolve("gateway-" + ip + ".log"));
    }

    @Override
    public void close() {
        if (process != null) process.destroyForcibly();
    }
}
