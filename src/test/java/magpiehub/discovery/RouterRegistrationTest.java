package magpiehub.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import magpiehub.concurrent.MonotonicClock;
import org.junit.jupiter.api.Test;

/** Tests the registration of a router at the fake registry. */
class RouterRegistrationTest {
    @Test
    void lostRegistrationIsRepeatedAndRemovedAtStop() throws Exception {
        for (String kind : List.of("etcd", "consul-kv")) {
            try (FakeRegistry registry = new FakeRegistry(1);
                    RecordingRegistryClient recorder =
                            new RecordingRegistryClient(RegistryFixtures.settings(kind, registry.addresses(), ""))) {
                RouterRegistration registration = new RouterRegistration(
                        RegistryFixtures.settings(
                                kind,
                                registry.addresses(),
                                ",\"announce\":{\"prefix\":\"routers/\",\"service\":\"routers\",\"ttl_ms\":1000}"),
                        "n1",
                        "127.0.0.1:9",
                        MonotonicClock.SYSTEM,
                        recorder.log,
                        1);
                registration.start();
                RegistryFixtures.await(() -> isRegistered(registry), () -> recorder.log.toString());
                registry.etcd.dropLeases();
                synchronized (registry) {
                    registry.consul.services.clear();
                }
                RegistryFixtures.await(() -> isRegistered(registry), () -> recorder.log.toString());
                assertEquals(1, recorder.counted("registry_announcement_lost"));
                registration.stop(20_000);
                assertTrue(
                        !isRegistered(registry) && recorder.log.contains("registry-deregistered id n1"),
                        recorder.log.toString());
            }
        }
    }

    private static boolean isRegistered(FakeRegistry registry) {
        synchronized (registry) {
            return registry.consul.services.contains("n1")
                    || registry.etcd.leases.values().stream().anyMatch(k -> k.contains("routers/n1"));
        }
    }
}
