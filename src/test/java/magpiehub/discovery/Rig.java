package magpiehub.discovery;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.Config;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.EndpointEntry;
import magpiehub.config.SiteSettings;
import magpiehub.routing.EndpointListKind;
import magpiehub.routing.EndpointState;
import magpiehub.telemetry.EventLog;

/** A client of the registry and what it was told, for tests and the proof. */
final class Rig {
    private Rig() {}

    static final class Client implements EventLog, RegistryClientObserver, AutoCloseable {
        final RegistryClient registry;
        /** What the module would have: engines told and not gone. */
        final Map<String, EndpointEntry> fleet = new ConcurrentHashMap<>();

        final Map<String, Integer> counts = new ConcurrentHashMap<>();
        final StringBuffer logged = new StringBuffer();
        private final Map<String, EndpointEntry> shadow = new HashMap<>();
        volatile String fault = "";

        Client(DiscoverySettings options) throws IOException {
            registry = new RegistryClient(
                    options,
                    site(),
                    (kind, list) -> {
                        if (kind == EndpointListKind.COMPLETE || kind == EndpointListKind.SAVED) {
                            fleet.keySet()
                                    .retainAll(list.stream()
                                            .map(e -> e.server().id())
                                            .toList());
                        }
                        for (EndpointEntry e : list) {
                            if (e.server().state() == EndpointState.DEAD) {
                                fleet.remove(e.server().id());
                            } else {
                                fleet.put(e.server().id(), e);
                            }
                        }
                    },
                    MonotonicClock.SYSTEM,
                    this,
                    7);
            registry.observe(this);
            registry.start(null, null);
        }

        /** Deltas alone must add up to the view, and name nothing that has not changed. */
        @Override
        public void updated(EndpointListState view, ListUpdateResult r, boolean watched) {
            if (r.delta() == null) {
                return;
            }
            for (EndpointEntry e : r.delta().put()) {
                if (e.equals(shadow.put(e.server().id(), e))) {
                    fault = "repeated " + e;
                }
            }
            for (String id : r.delta().removed()) {
                if (shadow.remove(id) == null) {
                    fault = "gone twice " + id;
                }
            }
            if (shadow.size() != view.size()) {
                fault = "deltas add up to " + shadow.size() + ", the view has " + view.size();
            }
        }

        @Override
        public void count(String name) {
            counts.merge(name, 1, Integer::sum);
        }

        int counted(String name) {
            return counts.getOrDefault(name, 0);
        }

        @Override
        public void log(String what, String... pairs) {
            logged.append(what).append(' ').append(String.join(" ", pairs)).append('\n');
        }

        @Override
        public void close() {
            registry.stop();
        }

        /** Waits until this client has what the registry has, and nothing was told amiss. */
        void follows(FakeRegistry of) {
            await(
                    () -> same(of),
                    () -> "fleet " + brief(fleet) + "\ntruth " + brief(truth(of)) + "\n" + counts + "\n"
                            + logged.substring(Math.max(0, logged.length() - 3000)));
            assertTrue(fault, fault.isEmpty());
        }

        boolean same(FakeRegistry of) {
            return addresses(fleet).equals(truth(of));
        }
    }

    private static String brief(Map<?, ?> m) {
        String s = m.size() + " " + m;
        return s.substring(0, Math.min(500, s.length()));
    }

    private static Map<String, String> addresses(Map<String, EndpointEntry> fleet) {
        Map<String, String> m = new TreeMap<>();
        fleet.forEach((id, e) -> m.put(
                id, e.address() + " " + e.server().state() + " " + e.server().cell()));
        return m;
    }

    /** The readable engines that the registry has. */
    static Map<String, String> truth(FakeRegistry of) {
        Map<String, String> m = new TreeMap<>();
        of.snapshot(Long.MAX_VALUE, FakeRegistry.PREFIX).forEach((k, v) -> {
            try {
                ConfigurationObject f = Config.facts(v.value(), "value");
                m.put(
                        f.text("id", k.substring(FakeRegistry.PREFIX.length())),
                        Config.address(f.text("host_port", ""))
                                + " " + (f.text("phase", "Ready").equals("Ready") ? "LIVE" : "DRAINING") + " "
                                + (int) f.number("cell", 0));
            } catch (IOException | RuntimeException e) {
                // One of those to be left out.
            }
        });
        return m;
    }

    static Supplier<SiteSettings> site() throws IOException {
        SiteSettings s =
                Config.site(Config.facts("{\"zones\":[\"a\"],\"machineTypes\":[\"m\"]}".getBytes(UTF_8), "settings"));
        return () -> s;
    }

    static String engine(int number, String phase) {
        return "{\"host_port\":\"127.0.0.1:" + (1000 + number % 60_000) + "\",\"phase\":\"" + phase + "\",\"cell\":"
                + number + "}";
    }

    /** Settings for a dialect with quick waits; {@code more} are further members of the file. */
    static DiscoverySettings options(String kind, List<String> endpoints, String more) throws IOException {
        String json = "{\"kind\":\"" + kind + "\",\"endpoints\":[\"" + String.join("\",\"", endpoints) + "\"],"
                + "\"prefix\":\"" + FakeRegistry.PREFIX + "\",\"service\":\"engines\",\"reconnect_spread_ms\":50,"
                + "\"backoff_base_ms\":20,\"backoff_cap_ms\":200,\"least_interval_ms\":20,"
                + "\"check_every_ms\":200,\"timeout_ms\":2000,\"membership\":{\"flap_half_life_ms\":0}"
                + more + "}";
        return DiscoverySettings.of(Config.facts(json.getBytes(UTF_8), "registry.json"), Path.of("."));
    }

    static void await(BooleanSupplier what, java.util.function.Supplier<String> otherwise) {
        long end = System.nanoTime() + 30_000_000_000L;
        while (!what.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError(otherwise.get());
            }
            java.util.concurrent.locks.LockSupport.parkNanos(500_000);
        }
    }
}
