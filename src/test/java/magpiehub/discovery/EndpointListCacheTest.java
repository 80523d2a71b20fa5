package magpiehub.discovery;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.EndpointEntry;
import magpiehub.config.SiteSettings;
import magpiehub.config.SiteSettingsParser;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests writing, reading and validation of the endpoint list cache file. */
class EndpointListCacheTest {
    private static final long SECOND = 1_000_000;

    @TempDir
    Path directory;

    @Test
    void listIsReadCompletelyOrNotAtAll() throws Exception {
        Path file = directory.resolve("last");
        EndpointEntryParser parser = EndpointEntryParser.strict(RegistryFixtures.site(), 0);
        EndpointListCache cache = new EndpointListCache(file, parser);
        assertNull(cache.read(0, SECOND));
        List<EndpointEntry> fleet = List.of(
                parser.read(RegistryFixtures.entryJson(7, "Ready").getBytes(UTF_8), "e7"),
                parser.read(RegistryFixtures.entryJson(8, "Terminating").getBytes(UTF_8), "e8"));
        cache.write(fleet, new ListPosition("c", 3, 9), 5_000);
        EndpointListCache.CachedList cached = cache.read(6_000, 10 * SECOND);
        assertEquals(fleet, cached.items().stream().map(ListItem::entry).toList());
        assertEquals(SECOND, cached.ageMicros());
        assertEquals(new ListPosition("c", 3, 9), cached.position());
        assertThrows(EndpointListCache.UnusableCacheException.class, () -> cache.read(60_000, 10 * SECOND));
        assertThrows(EndpointListCache.UnusableCacheException.class, () -> cache.read(-100_000, 10 * SECOND));
        byte[] complete = Files.readAllBytes(file);
        for (int i = 0; i < complete.length; i++) {
            byte[] damaged = complete.clone();
            damaged[i] ^= 1;
            Files.write(file, damaged);
            int at = i;
            if (i < 15 || i > 22) { // A changed digit in the time of writing still gives a valid time.
                assertThrows(
                        EndpointListCache.UnusableCacheException.class,
                        () -> cache.read(6_000, 10 * SECOND),
                        "byte " + at);
            }
            Files.write(file, Arrays.copyOf(complete, i));
            assertThrows(
                    EndpointListCache.UnusableCacheException.class,
                    () -> cache.read(6_000, 10 * SECOND),
                    "cut at " + at);
        }
    }

    /** A file from an earlier version can be read, and the same list is still written as the same bytes. */
    @Test
    void fileFormatIsUnchanged() throws Exception {
        byte[] recorded = Files.readAllBytes(Path.of("src/test/resources/endpoint-list-1"));
        SiteSettings site = SiteSettingsParser.parse(ConfigurationObject.parse(
                "{\"zones\":[\"a\",\"b\"],\"machineTypes\":[\"m\",\"台\"]}".getBytes(UTF_8), "settings"));
        // The monotonic clock is ahead of Unix time, so that all start times are positive on it.
        EndpointEntryParser parser = EndpointEntryParser.strict(() -> site, 4_000_000_000_000_000L);
        List<EndpointEntry> entries = new ArrayList<>();
        for (String json : List.of(
                "{\"host_port\":\"10.1.0.18:8080\",\"locality\":\"b\",\"flavor\":\"台\",\"cell\":3,\"phase\":\"Ready\","
                        + "\"size\":0.75,\"up_since_ms\":1764630000123}",
                "{\"host_port\":\"10.1.0.19:8080\",\"locality\":\"a\",\"flavor\":\"m\",\"phase\":\"Terminating\"}",
                "{\"id\":\"s-\\\"3\\\"\",\"host_port\":\"[::1]:9\",\"size\":2}")) {
            entries.add(parser.read(json.getBytes(UTF_8), "s-" + (entries.size() + 1)));
        }
        ListPosition position = new ListPosition("cafe01", 7, 4711);
        Path file = directory.resolve("last");
        EndpointListCache cache = new EndpointListCache(file, parser);

        cache.write(entries, position, 1_764_633_600_000L);
        assertArrayEquals(recorded, Files.readAllBytes(file));

        Files.write(file, recorded);
        EndpointListCache.CachedList cached = cache.read(1_764_633_601_000L, 10 * SECOND);
        assertEquals(entries, cached.items().stream().map(ListItem::entry).toList());
        assertEquals(SECOND, cached.ageMicros());
        assertEquals(position, cached.position());
    }

    @Test
    void startWithoutARegistryUsesTheCachedList() throws Exception {
        Path file = directory.resolve("last");
        String cacheSettings = ",\"list_file\":\"" + file + "\",\"list_every_ms\":100";
        try (FakeRegistry registry = new FakeRegistry(1)) {
            registry.put("e1", RegistryFixtures.entryJson(1, "Ready"));
            registry.put("e2", RegistryFixtures.entryJson(2, "Ready"));
            try (RecordingRegistryClient client = new RecordingRegistryClient(
                    RegistryFixtures.settings("etcd", registry.addresses(), cacheSettings))) {
                client.awaitEqualTo(registry);
                RegistryFixtures.await(() -> client.counted("registry_list_writes") > 0, () -> client.log.toString());
            }
            registry.endpoints.get(0).injectFault(FakeRegistry.Fault.DOWN);
            try (RecordingRegistryClient client = new RecordingRegistryClient(
                    RegistryFixtures.settings("etcd", registry.addresses(), cacheSettings))) {
                client.awaitEqualTo(registry);
                assertTrue(client.log.contains("registry-list-restored engines 2"));
                registry.delete("e1");
                registry.endpoints.get(0).injectFault(FakeRegistry.Fault.NONE);
                client.awaitEqualTo(registry);
                RegistryFixtures.await(() -> client.counted("registry_list_writes") > 0, () -> client.log.toString());
            }
            Files.writeString(file, "magpiehub-list 1 0 2 0\n{}");
            try (RecordingRegistryClient client = new RecordingRegistryClient(
                    RegistryFixtures.settings("etcd", registry.addresses(), cacheSettings))) {
                assertTrue(client.log.contains("registry-list-refused"), client.log.toString());
                client.awaitEqualTo(registry);
            }
        }
    }
}
