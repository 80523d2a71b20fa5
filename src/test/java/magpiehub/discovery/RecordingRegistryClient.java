package magpiehub.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.EndpointEntry;
import magpiehub.routing.EndpointListKind;
import magpiehub.routing.EndpointState;

/** Runs a registry client and records what it publishes, counts and logs. */
final class RecordingRegistryClient implements RegistryClientObserver, AutoCloseable {
    private static final int TAIL_LENGTH = 3000;
    private static final int MAX_DESCRIPTION_LENGTH = 500;

    final RegistryClient client;
    final RecordingEventLog log = new RecordingEventLog();
    /** The endpoints that have been published and not removed. */
    final Map<String, EndpointEntry> endpoints = new ConcurrentHashMap<>();
    /** The latest inconsistency among the list's changes; empty if there is none. */
    volatile String inconsistency = "";

    /** The result of applying all changes. */
    private final Map<String, EndpointEntry> accumulated = new HashMap<>();

    /** Starts a client. */
    RecordingRegistryClient(DiscoverySettings settings) throws IOException {
        client = new RegistryClient(settings, RegistryFixtures.site(), this::publish, MonotonicClock.SYSTEM, log, 7);
        client.setObserver(this);
        client.start(null, null);
    }

    private void publish(EndpointListKind kind, List<EndpointEntry> entries) {
        if (kind == EndpointListKind.COMPLETE || kind == EndpointListKind.SAVED) {
            endpoints
                    .keySet()
                    .retainAll(
                            entries.stream().map(entry -> entry.endpoint().id()).toList());
        }
        for (EndpointEntry entry : entries) {
            if (entry.endpoint().state() == EndpointState.DEAD) {
                endpoints.remove(entry.endpoint().id());
            } else {
                endpoints.put(entry.endpoint().id(), entry);
            }
        }
    }

    /** Checks that applying the changes gives the list, and that they contain only entries that have changed. */
    @Override
    public void onListUpdate(EndpointListState list, ListUpdateResult result, boolean byWatch) {
        if (result.delta() == null) {
            return;
        }
        for (EndpointEntry entry : result.delta().put()) {
            if (entry.equals(accumulated.put(entry.endpoint().id(), entry))) {
                inconsistency = "repeated " + entry;
            }
        }
        for (String id : result.delta().removed()) {
            if (accumulated.remove(id) == null) {
                inconsistency = "removed twice " + id;
            }
        }
        if (accumulated.size() != list.size()) {
            inconsistency = "changes add up to " + accumulated.size() + " endpoints, the list has " + list.size();
        }
    }

    int counted(String counter) {
        return log.counted(counter);
    }

    /** Waits until this client has published the registry's endpoints, and checks that its changes are consistent. */
    void awaitEqualTo(FakeRegistry registry) {
        RegistryFixtures.await(
                () -> isEqualTo(registry),
                () -> "published " + abbreviate(endpoints) + "\nregistry "
                        + abbreviate(RegistryFixtures.describe(registry)) + "\n" + log.counts() + "\n"
                        + log.tail(TAIL_LENGTH));
        assertTrue(inconsistency.isEmpty(), inconsistency);
    }

    boolean isEqualTo(FakeRegistry registry) {
        Map<String, String> published = new TreeMap<>();
        endpoints.forEach((id, entry) -> published.put(
                id,
                entry.address() + " " + entry.endpoint().state() + " "
                        + entry.endpoint().cell()));
        return published.equals(RegistryFixtures.describe(registry));
    }

    private static String abbreviate(Map<?, ?> entries) {
        String text = entries.size() + " " + entries;
        return text.substring(0, Math.min(MAX_DESCRIPTION_LENGTH, text.length()));
    }

    @Override
    public void close() {
        client.stop();
    }
}
