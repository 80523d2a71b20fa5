package magpiehub.discovery;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.HostPort;
import magpiehub.config.SiteSettings;
import magpiehub.config.SiteSettingsParser;

/** Settings, entries and a polling wait for tests of the registry client. */
final class RegistryFixtures {
    private static final long TIMEOUT_NANOS = 30_000_000_000L;
    private static final long POLL_NANOS = 500_000;

    private RegistryFixtures() {}

    /** Returns the readable endpoints of a registry: address, state and cell by id. */
    static Map<String, String> describe(FakeRegistry registry) {
        Map<String, String> endpoints = new TreeMap<>();
        registry.snapshot(Long.MAX_VALUE, FakeRegistry.PREFIX).forEach((key, version) -> {
            try {
                ConfigurationObject fields = ConfigurationObject.parse(version.value(), "value");
                String id = fields.text("id", key.substring(FakeRegistry.PREFIX.length()));
                endpoints.put(
                        id,
                        HostPort.requireValid(fields.text("host_port", ""))
                                + " " + (fields.text("phase", "Ready").equals("Ready") ? "LIVE" : "DRAINING") + " "
                                + (int) fields.number("cell", 0));
            } catch (IOException | RuntimeException e) {
                // An unreadable entry, which the client must skip.
            }
        });
        return endpoints;
    }

    /** Creates a site with one zone and one machine type. */
    static Supplier<SiteSettings> site() throws IOException {
        SiteSettings site = SiteSettingsParser.parse(
                ConfigurationObject.parse("{\"zones\":[\"a\"],\"machineTypes\":[\"m\"]}".getBytes(UTF_8), "settings"));
        return () -> site;
    }

    /** Creates an entry whose port and cell are derived from a number. */
    static String entryJson(int number, String phase) {
        return "{\"host_port\":\"127.0.0.1:" + (1000 + number % 60_000) + "\",\"phase\":\"" + phase + "\",\"cell\":"
                + number + "}";
    }

    /** Creates settings with short intervals; {@code extraMembers} is appended to the file's members. */
    static DiscoverySettings settings(String kind, List<String> endpoints, String extraMembers) throws IOException {
        String json = "{\"kind\":\"" + kind + "\",\"endpoints\":[\"" + String.join("\",\"", endpoints) + "\"],"
                + "\"prefix\":\"" + FakeRegistry.PREFIX + "\",\"service\":\"engines\",\"reconnect_spread_ms\":50,"
                + "\"backoff_base_ms\":20,\"backoff_cap_ms\":200,\"least_interval_ms\":20,"
                + "\"check_every_ms\":200,\"timeout_ms\":2000,\"membership\":{\"flap_half_life_ms\":0}"
                + extraMembers + "}";
        return DiscoverySettings.of(ConfigurationObject.parse(json.getBytes(UTF_8), "registry.json"), Path.of("."));
    }

    /** Waits for a condition; fails with the given message after 30 s. */
    static void await(BooleanSupplier condition, Supplier<String> message) {
        long end = System.nanoTime() + TIMEOUT_NANOS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError(message.get());
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }
}
