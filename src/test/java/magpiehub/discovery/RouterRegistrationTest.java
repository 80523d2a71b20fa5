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
                    RecordingRegistryClient bystander =
                            new RecordingRegistryClient(RegistryFixtures.settings(kind, registry.addresses(), ""))) {
                RouterRegistration a = new RouterRegistration(
                        RegistryFixtures.settings(
                                kind,
                                registry.addresses(),
                                ",\"announce\":{\"prefix\":\"routers/\",\"service\":\"routers\",\"ttl_ms\":1000}"),
                        "n1",
                        "127.0.0.1:9",
                        MonotonicClock.SYSTEM,
                        bystander.log,
                        1);
                a.start();
                RegistryFixtures.await(() -> announced(registry), () -> bystander.log.toString());
                registry.etcd.loseLeases();
                synchronized (registry) {
                    registry.consul.services.clear();
                }
                RegistryFixtures.await(() -> announced(registry), () -> bystander.log.toString());
                assertEquals(1, bystander.counted("registry_announcement_lost"));
                a.stop(20_000);
                assertTrue(
                        !announced(registry) && bystander.log.contains("registry-deregistered id n1"),
                        bystander.log.toString());
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
