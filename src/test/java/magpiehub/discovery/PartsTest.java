package magpiehub.discovery;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeSet;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.ConfigurationException;
import magpiehub.config.EndpointEntry;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** Settings, waits, the list on disk and announcing. */
public class PartsTest {
    private static final long S = 1_000_000;

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    // ---- Settings -------------------------------------------------------------------------------------
    private String fault(String json) throws Exception {
        Path file = folder.getRoot().toPath().resolve("registry.json");
        Files.writeString(file, json);
        return assertThrows(ConfigurationException.class, () -> DiscoverySettings.read(file))
                .getMessage();
    }

    @Test
    public void eachFaultNamesFileAndField() throws Exception {
        String ok = "\"kind\":\"etcd\",\"endpoints\":[\"127.0.0.1:2379\"],\"prefix\":\"/e/\"";
        for (String[] c : new String[][] {
            {"{}", "registry.json.kind must be etcd, consul-health or consul-kv"},
            {"{\"kind\":\"etcd\"}", "registry.json.endpoints must list at least one address:port"},
            {"{\"kind\":\"etcd\",\"endpoints\":[\"x\"]}", "registry.json.endpoints is no address:port: x"},
            {"{\"kind\":\"etcd\",\"endpoints\":\"x\"}", "registry.json.endpoints has the wrong type"},
            {"{\"kind\":\"etcd\",\"endpoints\":[\"127.0.0.1:1\"]}", "registry.json.prefix must name"},
            {"{\"kind\":\"consul-health\",\"endpoints\":[\"127.0.0.1:1\"]}", "registry.json.service must"},
            {"{" + ok + ",\"timeout_ms\":1}", "registry.json.timeout_ms must be from 50 to 60000, not 1"},
            {"{" + ok + ",\"timeout\":900}", "registry.json.timeout is not known; known are announce, "},
            {"{" + ok + ",\"user\":\"u\"}", "registry.json.password_file must be given with the other"},
            {
                "{" + ok + ",\"membership\":{\"removal_share\":2}}",
                "registry.json.membership.removal_share must be from 0 to 1, not 2"
            },
            {"{" + ok + ",\"announce\":{}}", "registry.json.announce.prefix must name"},
            {"{" + ok + ",\"backoff_base_ms\":2000}", "registry.json.backoff_base_ms must not be above"},
            {"{" + ok, "registry.json: Unexpected end-of-input"},
        }) {
            String got = fault(c[0]);
            assertTrue(got, got.startsWith(c[1]));
        }
        Path secret = folder.newFile("secret").toPath();
        Files.writeString(secret, "x");
        Files.setPosixFilePermissions(secret, java.nio.file.attribute.PosixFilePermissions.fromString("rw-r--r--"));
        assertTrue(fault("{" + ok + ",\"user\":\"u\",\"password_file\":\"secret\"}")
                .contains("chmod 600"));
        assertNull(DiscoverySettings.read(folder.getRoot().toPath().resolve("none.json")));
        assertEquals(
                "etcd",
                DiscoverySettings.read(Path.of("deploy/registry.example.json")).kind());
    }

    // ---- Waits ----------------------------------------------------------------------------------------
    @Test
    public void threeHundredRoutersThatLoseARegistryComeBackSpread() {
        TreeSet<Long> first = new TreeSet<>();
        for (int i = 0; i < 300; i++) {
            RegistryEndpoints e = new RegistryEndpoints(3, new BackoffSettings(100_000, 1_500_000, 1_500_000), i);
            int at = e.select(0);
            e.recordSuccess(at);
            e.recordFailure(at, S, EndpointFailure.CONNECTION_LOST, 0);
            assertEquals("none of them at once", -1, e.select(S - 1));
            first.add(e.nextReadyAtMicros());
        }
        long[] times = first.stream().mapToLong(t -> t).toArray();
        assertTrue(
                "the middle nine tenths take over a second",
                times[times.length * 95 / 100] - times[times.length * 5 / 100] > S);
    }

    @Test
    public void waitsGrowToTheCapAndAnotherEndpointIsAskedMeanwhile() {
        RegistryEndpoints one = new RegistryEndpoints(1, new BackoffSettings(100_000, 1_500_000, 0), 3);
        long now = 0;
        long longest = 0;
        for (int i = 0; i < 50; i++) {
            one.recordFailure(0, now, EndpointFailure.CONNECTION_LOST, 0);
            long wait = one.nextReadyAtMicros() - now;
            assertTrue("" + wait, wait >= 100_000 && wait <= 1_500_000);
            assertTrue("at most three times the one before", wait <= Math.max(300_000, 3 * longest));
            longest = Math.max(longest, wait);
            now += wait;
        }
        assertTrue(longest > S);
        one.recordFailure(0, now, EndpointFailure.ERROR_RESPONSE, 5 * S);
        assertEquals("it said itself when to return", -1, one.select(now + 5 * S - 1));
        RegistryEndpoints two = new RegistryEndpoints(2, new BackoffSettings(100_000, 1_500_000, S), 3);
        int first = two.select(0);
        two.recordSuccess(first);
        two.recordFailure(first, 0, EndpointFailure.TIMEOUT, 0);
        assertEquals("a silent one is left at once", 1 - first, two.select(0));
        two.recordSuccess(first);
        two.recordFailure(first, 0, EndpointFailure.ERROR_RESPONSE, 0);
        assertEquals(
                "one that answers with an error is no restart: another is asked at once", 1 - first, two.select(0));
        two.recordSuccess(1 - first);
        assertEquals("the one in use stays in use", 1 - first, two.select(10 * S));
        two.recordSuccess(first);
        two.recordStaleAnswer(1 - first, 10 * S, S);
        two.recordFailure(first, 10 * S - 1, EndpointFailure.TIMEOUT, 0);
        assertEquals("not even after another failed once", first, two.select(11 * S));
    }

    /** A registry that asks to be left alone for a minute is asked again in time all the same. */
    @Test
    public void noWordOfTheRegistryPutsTheListOff() {
        assertEquals(0, RegistryConnection.parseRetryAfterMicros(null));
        assertEquals(S / 5, RegistryConnection.parseRetryAfterMicros("0.2"));
        assertEquals(2 * S, RegistryConnection.parseRetryAfterMicros("60"));
        assertEquals(0, RegistryConnection.parseRetryAfterMicros("-1"));
        assertEquals(0, RegistryConnection.parseRetryAfterMicros("Wed, 21 Oct 2026 07:28:00 GMT"));
    }

    // ---- The list on disk -----------------------------------------------------------------------------
    @Test
    public void theLastListComesBackWholeOrNotAtAll() throws Exception {
        Path file = folder.getRoot().toPath().resolve("last");
        EndpointEntryParser entries = EndpointEntryParser.strict(Rig.site(), 0);
        EndpointListCache list = new EndpointListCache(file, entries);
        assertNull(list.read(0, S));
        List<EndpointEntry> fleet = List.of(
                entries.read(Rig.engine(7, "Ready").getBytes(UTF_8), "e7"),
                entries.read(Rig.engine(8, "Terminating").getBytes(UTF_8), "e8"));
        list.write(fleet, new ListPosition("c", 3, 9), 5_000);
        EndpointListCache.CachedList kept = list.read(6_000, 10 * S);
        assertEquals(fleet, kept.items().stream().map(ListItem::entry).toList());
        assertEquals(S, kept.ageMicros());
        assertEquals(new ListPosition("c", 3, 9), kept.position());
        assertThrows(EndpointListCache.UnusableCacheException.class, () -> list.read(60_000, 10 * S));
        assertThrows(EndpointListCache.UnusableCacheException.class, () -> list.read(-100_000, 10 * S));
        byte[] whole = Files.readAllBytes(file);
        for (int i = 0; i < whole.length; i++) {
            byte[] b = whole.clone();
            b[i] ^= 1;
            Files.write(file, b);
            int at = i;
            if (i < 15 || i > 22) { // The time alone may change and still be one.
                assertThrows(
                        "byte " + at, EndpointListCache.UnusableCacheException.class, () -> list.read(6_000, 10 * S));
            }
            Files.write(file, java.util.Arrays.copyOf(whole, i));
            assertThrows(
                    "cut at " + at, EndpointListCache.UnusableCacheException.class, () -> list.read(6_000, 10 * S));
        }
    }

    @Test
    public void aStartWithoutARegistryServesTheLastList() throws Exception {
        Path file = folder.getRoot().toPath().resolve("last");
        String more = ",\"list_file\":\"" + file + "\",\"list_every_ms\":100";
        try (FakeRegistry registry = new FakeRegistry(1)) {
            registry.put("e1", Rig.engine(1, "Ready"));
            registry.put("e2", Rig.engine(2, "Ready"));
            try (Rig.Client c = new Rig.Client(Rig.options("etcd", registry.addresses(), more))) {
                c.follows(registry);
                Rig.await(() -> c.counted("registry_list_writes") > 0, () -> c.logged.toString());
            }
            registry.endpoints.get(0).fault(FakeRegistry.Fault.DOWN);
            try (Rig.Client c = new Rig.Client(Rig.options("etcd", registry.addresses(), more))) {
                c.follows(registry);
                assertTrue(c.logged.indexOf("registry-list-restored engines 2") >= 0);
                registry.delete("e1");
                registry.endpoints.get(0).fault(FakeRegistry.Fault.NONE);
                c.follows(registry);
                Rig.await(() -> c.counted("registry_list_writes") > 0, () -> c.logged.toString());
            }
            Files.writeString(file, "magpiehub-list 1 0 2 0\n{}");
            try (Rig.Client c = new Rig.Client(Rig.options("etcd", registry.addresses(), more))) {
                assertTrue(c.logged.toString(), c.logged.indexOf("registry-list-refused") >= 0);
                c.follows(registry);
            }
        }
    }

    /** The proof at a small scale: nothing missed, repeated or taken back. Its times are no part of a test.
     *  */
    @Test
    public void theProofHoldsAtASmallScale() throws Exception {
        RegistryProof.Outcome o = RegistryProof.run(1, 60, 400, 6, 2, 60 * S);
        assertEquals(o.line(), 0, o.wrong());
    }

    // ---- Announcing -----------------------------------------------------------------------------------
    @Test
    public void anAnnouncementIsKeptMadeAnewAndTakenBack() {
        RegistrationState a = new RegistrationState(9 * S, 0);
        assertEquals(RegistrationState.Step.REGISTER, a.nextStep(0));
        a.onFailed(0, 100);
        assertEquals(RegistrationState.Step.NONE, a.nextStep(99));
        a.onRegistered(100, 6 * S);
        assertEquals("a third of what was granted", 100 + 2 * S, a.nextStepAtMicros());
        assertEquals(RegistrationState.Step.KEEP, a.nextStep(a.nextStepAtMicros()));
        a.onLost(3 * S);
        assertEquals(RegistrationState.Step.REGISTER, a.nextStep(3 * S));
        a.onRegistered(3 * S, 9 * S);
        a.onFailed(6 * S, 10 * S);
        assertEquals("its lease has run out", RegistrationState.Step.REGISTER, a.nextStep(16 * S));
        a.onStop();
        assertEquals("it may still stand", RegistrationState.Step.DEREGISTER, a.nextStep(16 * S));
        a.onDeregistered();
        assertEquals(RegistrationState.Step.DONE, a.nextStep(17 * S));
        RegistrationState none = new RegistrationState(S, 0);
        none.onStop();
        assertEquals("never made", RegistrationState.Step.DONE, none.nextStep(0));
    }

    @Test
    public void aRouterAnnouncesItselfAgainAfterALossAndLeavesInOrder() throws Exception {
        for (String kind : List.of("etcd", "consul-kv")) {
            try (FakeRegistry registry = new FakeRegistry(1);
                    Rig.Client journal = new Rig.Client(Rig.options(kind, registry.addresses(), ""))) {
                RouterRegistration a = new RouterRegistration(
                        Rig.options(
                                kind,
                                registry.addresses(),
                                ",\"announce\":{\"prefix\":" + "\"routers/\",\"service\":\"routers\",\"ttl_ms\":1000}"),
                        "n1",
                        "127.0.0.1:9",
                        MonotonicClock.SYSTEM,
                        journal,
                        1);
                a.start();
                Rig.await(() -> announced(registry), () -> journal.logged.toString());
                registry.etcd.loseLeases();
                synchronized (registry) {
                    registry.consul.services.clear();
                }
                Rig.await(() -> announced(registry), () -> journal.logged.toString());
                assertEquals(1, journal.counted("registry_announcement_lost"));
                a.stop(20_000);
                assertTrue(
                        journal.logged.toString(),
                        !announced(registry) && journal.logged.indexOf("registry-deregistered id n1") >= 0);
            }
        }
    }

    private static boolean announced(FakeRegistry r) {
        synchronized (r) {
            return r.consul.services.contains("n1")
                    || r.etcd.leases.values().stream().anyMatch(k -> k.contains("routers/n1"));
        }
    }
}
