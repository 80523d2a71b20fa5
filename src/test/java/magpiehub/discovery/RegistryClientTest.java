package magpiehub.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import magpiehub.discovery.FakeRegistry.Fault;
import magpiehub.routing.EndpointState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests clients of a fake registry, with each protocol, during connection losses, compactions and restores. */
class RegistryClientTest {
    public static List<String> kinds() {
        return List.of("etcd", "consul-health", "consul-kv");
    }

    private FakeRegistry registry;
    private RecordingRegistryClient client;

    @BeforeEach
    void start() throws Exception {
        registry = new FakeRegistry(2);
        for (int i = 0; i < 40; i++) {
            registry.put("e" + i, RegistryFixtures.entryJson(i, "Ready"));
        }
    }

    @AfterEach
    void stop() {
        if (client != null) {
            client.close();
        }
        registry.close();
    }

    private void startClient(String kind, String extraMembers) throws Exception {
        client = new RecordingRegistryClient(RegistryFixtures.settings(kind, registry.addresses(), extraMembers));
        client.awaitEqualTo(registry);
    }

    private void useOnlyEndpoint(int endpoint) {
        registry.endpoints.get(1 - endpoint).injectFault(Fault.DOWN);
    }

    private void makeChanges(int first, int count) {
        for (int i = first; i < first + count; i++) {
            if (i % 7 == 3) {
                registry.delete("e" + i % 50);
            } else {
                registry.put("e" + i % 50, RegistryFixtures.entryJson(i, i % 5 == 0 ? "Terminating" : "Ready"));
            }
        }
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("kinds")
    void changesAreReportedOnce(String kind) throws Exception {
        startClient(kind, "");
        makeChanges(100, 500);
        client.awaitEqualTo(registry);
        assertTrue(!kind.equals("etcd") || client.counted("registry_lists") == 1, "etcd reads one complete list");
    }

    /** Truncates responses at many offsets during changes: within chunks, lines and characters beyond ASCII. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("kinds")
    void partialDataIsNeverApplied(String kind) throws Exception {
        useOnlyEndpoint(0);
        startClient(kind, "");
        for (int offset = 0; offset < 700; offset += 13) {
            registry.endpoints.get(0).truncateAfterBytes = offset;
            registry.putAll(Map.of(
                    "e1",
                    RegistryFixtures.entryJson(2000 + offset, "Ready"),
                    "e2",
                    RegistryFixtures.entryJson(3000 + offset, "Ready"),
                    "台",
                    RegistryFixtures.entryJson(offset, "Ready")));
            client.awaitEqualTo(registry);
        }
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("kinds")
    void connectionLossDuringChangesLosesAndRepeatsNone(String kind) throws Exception {
        startClient(kind, "");
        for (int i = 0; i < 10; i++) {
            makeChanges(i * 100, 50);
            registry.closeAllConnections();
            makeChanges(i * 100 + 50, 50);
        }
        client.awaitEqualTo(registry);
        assertEquals("", client.inconsistency);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("kinds")
    void fragmentedRevisionIsAppliedAtOnce(String kind) throws Exception {
        registry.etcd.eventsPerFragment = 7;
        startClient(kind, "");
        for (int round = 0; round < 20; round++) {
            Map<String, String> all = new HashMap<>();
            for (int i = 0; i < 40; i++) {
                all.put("e" + i, RegistryFixtures.entryJson(round * 100 + i, "Ready"));
            }
            registry.putAll(all);
            if (round % 5 == 4) {
                registry.endpoints.get(0).truncateAfterBytes = 900;
                registry.closeAllConnections();
            }
        }
        client.awaitEqualTo(registry);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("kinds")
    void restoredOlderDataIsRelisted(String kind) throws Exception {
        startClient(kind, "");
        long old = registry.revision;
        makeChanges(100, 200);
        client.awaitEqualTo(registry);
        registry.restore(old, registry.cluster, old);
        client.awaitEqualTo(registry);
        assertEquals(1, client.counted("registry_histories"));
        makeChanges(400, 50);
        client.awaitEqualTo(registry);
    }

    /** The revisions continue past the client's position: only the data at that position shows that it was restored. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("kinds")
    void restoredRegistryBeyondTheClientsPositionIsRelisted(String kind) throws Exception {
        startClient(kind, "");
        long old = registry.revision;
        makeChanges(100, 20);
        client.awaitEqualTo(registry);
        registry.endpoints.forEach(e -> e.injectFault(Fault.DOWN));
        registry.restore(old, registry.cluster, old);
        makeChanges(317, 60);
        registry.endpoints.forEach(e -> e.injectFault(Fault.NONE));
        client.awaitEqualTo(registry);
        assertTrue(!kind.equals("etcd") || client.log.contains("different history at revision"), client.log.toString());
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("kinds")
    void anotherHistoryWithHigherRevisionsIsRelisted(String kind) throws Exception {
        startClient(kind, "");
        makeChanges(100, 200);
        client.awaitEqualTo(registry);
        registry.restore(20, "99", registry.revision + 1000);
        client.awaitEqualTo(registry);
        assertEquals(kind.equals("etcd") ? 1 : 0, client.counted("registry_histories"));
        makeChanges(400, 50);
        client.awaitEqualTo(registry);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("kinds")
    void laggingEndpointDoesNotRevertTheList(String kind) throws Exception {
        startClient(kind, "");
        makeChanges(100, 300);
        client.awaitEqualTo(registry);
        registry.endpoints.get(1).revisionsBehind = 200;
        for (int i = 0; i < 6; i++) {
            registry.closeAllConnections();
            makeChanges(400 + i, 1);
            client.awaitEqualTo(registry);
        }
        assertEquals(0, client.counted("registry_histories"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("kinds")
    void silentWatchIsReplaced(String kind) throws Exception {
        startClient(kind, "");
        int watched = client.counted("registry_watch_calls");
        registry.endpoints.forEach(e -> e.fault = Fault.SILENT_WATCHES);
        makeChanges(100, 20);
        RegistryFixtures.await(() -> client.counted("registry_rereads") > 0, () -> client.log.toString());
        client.awaitEqualTo(registry);
        assertTrue(client.counted("registry_watch_calls") >= watched);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("kinds")
    void silentEndpointIsReplaced(String kind) throws Exception {
        registry.endpoints.get(0).fault = Fault.SILENT;
        startClient(kind, "");
        registry.endpoints.get(0).injectFault(Fault.NONE);
        registry.endpoints.get(1).injectFault(Fault.SILENT);
        makeChanges(100, 20);
        client.awaitEqualTo(registry);
        RegistryFixtures.await(() -> client.log.contains("why silent"), () -> client.log.toString());
    }

    /** An endpoint that sends byte by byte is never silent, but another one must deliver the list within 6 s. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("kinds")
    void slowListIsReplacedInTime(String kind) throws Exception {
        makeChanges(100, 20);
        registry.endpoints.get(0).injectFault(Fault.BYTE_BY_BYTE);
        registry.endpoints.get(1).injectFault(Fault.DOWN);
        client = new RecordingRegistryClient(RegistryFixtures.settings(kind, registry.addresses(), ""));
        RegistryFixtures.await(() -> !registry.requestCounts.isEmpty(), () -> client.log.toString());
        registry.endpoints.get(1).injectFault(Fault.NONE);
        long back = System.nanoTime();
        client.awaitEqualTo(registry);
        assertTrue(System.nanoTime() - back < 6_000_000_000L, "list within 6 s");
        registry.endpoints.get(0).injectFault(Fault.NONE);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("kinds")
    void unreadableEntryIsLoggedAndSkipped(String kind) throws Exception {
        registry.put("bad", "{\"host_port\":");
        startClient(kind, "");
        RegistryFixtures.await(
                () -> client.log.contains("registry-entry-unreadable key "), () -> client.log.toString());
        registry.put("e3", "{\"host_port\":\"nowhere\"}");
        client.awaitEqualTo(registry);
        assertFalse(client.endpoints.containsKey("e3"));
        registry.put("bad", RegistryFixtures.entryJson(77, "Ready"));
        registry.put("e3", RegistryFixtures.entryJson(78, "Ready"));
        client.awaitEqualTo(registry);
        assertEquals(41, client.endpoints.size());
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("kinds")
    void tenThousandEntriesFitIntoOneList(String kind) throws Exception {
        for (int i = 0; i < 10_000; i++) {
            registry.put("x" + i, i == 5000 ? "?" : RegistryFixtures.entryJson(i, "Ready"));
        }
        startClient(kind, "");
        assertEquals(10_039, client.endpoints.size());
        makeChanges(100, 20);
        client.awaitEqualTo(registry);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("kinds")
    void endpointThatMovesWithinOneBurstIsListed(String kind) throws Exception {
        startClient(kind, "");
        registry.delete("e1");
        registry.put("new-key", "{\"id\":\"e1\",\"host_port\":\"127.0.0.1:5\"}");
        registry.put("other", "{\"id\":\"e2\",\"host_port\":\"127.0.0.1:6\"}");
        registry.delete("e2");
        client.awaitEqualTo(registry);
        assertEquals("127.0.0.1:6", client.endpoints.get("e2").address());
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("kinds")
    void registryIsReplacedDuringChanges(String kind) throws Exception {
        startClient(kind, "");
        try (FakeRegistry second = new FakeRegistry(1)) {
            second.put("only", RegistryFixtures.entryJson(1, "Ready"));
            second.put("e5", RegistryFixtures.entryJson(2, "Ready"));
            second.endpoints.get(0).injectFault(Fault.SILENT);
            makeChanges(100, 100);
            client.client.changeSettings(RegistryFixtures.settings(kind, second.addresses(), ""));
            makeChanges(200, 100);
            // The second registry has delivered nothing yet, so the first one's changes still apply.
            client.awaitEqualTo(registry);
            second.endpoints.get(0).injectFault(Fault.NONE);
            client.awaitEqualTo(second);
            makeChanges(300, 10);
            second.put("later", RegistryFixtures.entryJson(3, "Ready"));
            client.awaitEqualTo(second);
        }
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("kinds")
    void listWithoutMostEndpointsIsReadTwice(String kind) throws Exception {
        startClient(kind, "");
        int lists = registry.requestCount("/v3/kv/range");
        registry.restore(5, registry.cluster, 5);
        client.awaitEqualTo(registry);
        assertEquals(1, client.counted("membership_doubts"));
        assertTrue(registry.requestCount("/v3/kv/range") > lists || !kind.equals("etcd"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("kinds")
    void listSurvivesARegistryOutage(String kind) throws Exception {
        startClient(kind, "");
        registry.endpoints.forEach(e -> e.injectFault(Fault.DOWN));
        makeChanges(100, 50);
        RegistryFixtures.await(() -> client.counted("registry_failures") > 3, () -> client.log.toString());
        assertFalse(client.endpoints.isEmpty(), "the list is kept during the outage");
        registry.endpoints.forEach(e -> e.injectFault(Fault.NONE));
        client.awaitEqualTo(registry);
        RegistryFixtures.await(() -> client.log.contains("registry-up"), () -> client.log.toString());
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("kinds")
    void rejectedRequestsAndLostLeadersAreRetried(String kind) throws Exception {
        startClient(kind, "");
        registry.endpoints.get(0).injectFault(Fault.RATE_LIMITED);
        registry.endpoints.get(1).injectFault(kind.equals("etcd") ? Fault.UNAUTHORIZED : Fault.NO_LEADER);
        makeChanges(100, 20);
        RegistryFixtures.await(() -> client.counted("registry_failures") > 3, () -> client.log.toString());
        registry.endpoints.forEach(e -> e.injectFault(Fault.NONE));
        client.awaitEqualTo(registry);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("kinds")
    void compactionBetweenListAndWatchCausesARelist(String kind) throws Exception {
        assumeTrue(kind.equals("etcd"));
        startClient(kind, "");
        registry.endpoints.forEach(e -> e.injectFault(Fault.DOWN));
        makeChanges(100, 50);
        registry.compact();
        registry.endpoints.forEach(e -> e.injectFault(Fault.NONE));
        client.awaitEqualTo(registry);
        assertEquals(1, client.counted("registry_compactions"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("kinds")
    void compactionBetweenPagesRestartsTheList(String kind) throws Exception {
        assumeTrue(kind.equals("etcd"));
        registry.etcd.betweenPages = () -> {
            registry.etcd.betweenPages = () -> {};
            registry.put("e7", RegistryFixtures.entryJson(4711, "Ready"));
            registry.compact();
        };
        startClient(kind, ",\"page\":10");
        assertEquals(4711, client.endpoints.get("e7").endpoint().cell());
        assertEquals(40, client.endpoints.size());
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("kinds")
    void expiredTokenIsRenewed(String kind) throws Exception {
        assumeTrue(kind.equals("etcd"));
        registry.password = "secret";
        java.nio.file.Path file = java.nio.file.Files.createTempFile("password", "");
        java.nio.file.Files.writeString(file, "secret\n");
        startClient(kind, ",\"user\":\"router\",\"password_file\":\"" + file + "\"");
        FakeRegistry locked = registry;
        synchronized (locked) {
            locked.etcd.tokens.clear();
        }
        registry.closeAllConnections();
        makeChanges(100, 20);
        client.awaitEqualTo(registry);
        assertTrue(registry.etcd.logins >= 2);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("kinds")
    void drainingIsReportedAtOnce(String kind) throws Exception {
        startClient(kind, "");
        for (int i = 0; i < 40; i++) {
            registry.put("e" + i, RegistryFixtures.entryJson(i, "Terminating"));
        }
        RegistryFixtures.await(
                () -> client.endpoints.values().stream()
                        .allMatch(e -> e.endpoint().state() == EndpointState.DRAINING),
                () -> client.log.toString());
        assertEquals(0, client.counted("membership_doubts"));
    }
}
