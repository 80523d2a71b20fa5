package magpiehub.discovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.List;
import magpiehub.concurrent.MonotonicClock;
import org.junit.Test;

/** The registration of a router at the fake registry. */
public class RouterRegistrationTest {
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
