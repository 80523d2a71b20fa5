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

/** A running registry client with what it has published, counted and logged. */
final class RecordingRegistryClient implements RegistryClientObserver, AutoCloseable {
    private static final int TAIL_LENGTH = 3000;
    private static final int BRIEF_LENGTH = 500;

    final RegistryClient client;
    final RecordingEventLog log = new RecordingEventLog();
    /** What the dispatcher would have: endpoints published and not removed. */
    final Map<String, EndpointEntry> fleet = new ConcurrentHashMap<>();
    /** The first or latest contradiction among the list's changes; empty for none. */
    volatile String fault = "";

    /** The endpoints that the changes add up to. */
    private final Map<String, EndpointEntry> shadow = new HashMap<>();

    /** Starts a client. */
    RecordingRegistryClient(DiscoverySettings settings) throws IOException {
        client = new RegistryClient(settings, RegistryFixtures.site(), this::publish, MonotonicClock.SYSTEM, log, 7);
        client.observe(this);
        client.start(null, null);
    }

    private void publish(EndpointListKind kind, List<EndpointEntry> entries) {
        if (kind == EndpointListKind.COMPLETE || kind == EndpointListKind.SAVED) {
            fleet.keySet()
                    .retainAll(
                            entries.stream().map(entry -> entry.endpoint().id()).toList());
        }
        for (EndpointEntry entry : entries) {
            if (entry.endpoint().state() == EndpointState.DEAD) {
                fleet.remove(entry.endpoint().id());
            } else {
                fleet.put(entry.endpoint().id(), entry);
            }
        }
    }

    /** Checks that the changes alone add up to the list, and name nothing that has not changed. */
    @Override
    public void updated(EndpointListState list, ListUpdateResult result, boolean byWatch) {
        if (result.delta() == null) {
            return;
        }
        for (EndpointEntry entry : result.delta().put()) {
            if (entry.equals(shadow.put(entry.endpoint().id(), entry))) {
                fault = "repeated " + entry;
            }
        }
        for (String id : result.delta().removed()) {
            if (shadow.remove(id) == null) {
                fault = "gone twice " + id;
            }
        }
        if (shadow.size() != list.size()) {
            fault = "deltas add up to " + shadow.size() + ", the view has " + list.size();
        }
    }

    int counted(String counter) {
        return log.counted(counter);
    }

    /** Waits until this client has what the registry has, and nothing contradictory was published. */
    void awaitEqualTo(FakeRegistry registry) {
        RegistryFixtures.await(
                () -> isEqualTo(registry),
                () -> "fleet " + brief(fleet) + "\ntruth " + brief(RegistryFixtures.describe(registry)) + "\n"
                        + log.counts() + "\n" + log.tail(TAIL_LENGTH));
        assertTrue(fault.isEmpty(), fault);
    }

    boolean isEqualTo(FakeRegistry registry) {
        Map<String, String> published = new TreeMap<>();
        fleet.forEach((id, entry) -> published.put(
                id,
                entry.address() + " " + entry.endpoint().state() + " "
                        + entry.endpoint().cell()));
        return published.equals(RegistryFixtures.describe(registry));
    }

    private static String brief(Map<?, ?> entries) {
        String text = entries.size() + " " + entries;
        return text.substring(0, Math.min(BRIEF_LENGTH, text.length()));
    }

    @Override
    public void close() {
        client.stop();
    }
}
