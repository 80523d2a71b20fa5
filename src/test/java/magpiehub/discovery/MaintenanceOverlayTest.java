package magpiehub.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import magpiehub.config.EndpointEntry;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointListKind;
import magpiehub.routing.EndpointState;
import org.junit.jupiter.api.Test;

/** Maintenance must apply whatever list and changes the source reports, before and after it. */
class MaintenanceOverlayTest {
    private final MaintenanceOverlay overlay = new MaintenanceOverlay();

    private static EndpointEntry entry(String id, EndpointState state, long since) {
        return new EndpointEntry(new Endpoint(id, 0, 0, 0, state, 1, since), "h:1");
    }

    private static EndpointState state(List<EndpointEntry> list, String id) {
        return find(list, id).state();
    }

    private static long since(List<EndpointEntry> list, String id) {
        return find(list, id).startedAt();
    }

    private static Endpoint find(List<EndpointEntry> list, String id) {
        return list.stream()
                .map(EndpointEntry::endpoint)
                .filter(s -> s.id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void endpointOutOfServiceStaysDrainingWhateverTheSourceReports() {
        overlay.applyFromSource(
                EndpointListKind.COMPLETE,
                List.of(entry("a", EndpointState.LIVE, 0), entry("b", EndpointState.LIVE, 0)));
        List<EndpointEntry> all = overlay.applyMaintenance(Set.of("a"), Map.of());
        assertEquals(2, all.size());
        assertEquals(EndpointState.DRAINING, state(all, "a"));
        assertEquals(EndpointState.LIVE, state(all, "b"));
        assertTrue(
                overlay.applyMaintenance(Set.of("a"), Map.of()).isEmpty(),
                "repeating the same maintenance changes nothing");
        assertEquals(
                EndpointState.DRAINING,
                state(
                        overlay.applyFromSource(EndpointListKind.CHANGES, List.of(entry("a", EndpointState.LIVE, 50))),
                        "a"));
        assertEquals(
                EndpointState.DEAD,
                state(
                        overlay.applyFromSource(EndpointListKind.CHANGES, List.of(entry("a", EndpointState.DEAD, 0))),
                        "a"));
        assertEquals(
                EndpointState.DRAINING,
                state(
                        overlay.applyFromSource(
                                EndpointListKind.COMPLETE,
                                List.of(entry("a", EndpointState.LIVE, 60), entry("b", EndpointState.LIVE, 0))),
                        "a"));
    }

    @Test
    void endpointBackInServiceHasStartedNoEarlier() {
        overlay.applyFromSource(EndpointListKind.COMPLETE, List.of(entry("a", EndpointState.LIVE, 0)));
        overlay.applyMaintenance(Set.of("a"), Map.of());
        List<EndpointEntry> back = overlay.applyMaintenance(Set.of(), Map.of("a", 900L));
        assertEquals(EndpointState.LIVE, state(back, "a"));
        assertEquals(900, since(back, "a"));
        // The source may report the restart late. A start after the return to service is kept.
        assertEquals(
                900,
                since(
                        overlay.applyFromSource(EndpointListKind.CHANGES, List.of(entry("a", EndpointState.LIVE, 700))),
                        "a"));
        assertEquals(
                1500,
                since(
                        overlay.applyFromSource(
                                EndpointListKind.CHANGES, List.of(entry("a", EndpointState.LIVE, 1500))),
                        "a"));
    }

    @Test
    void unlistedEndpointsAreNotReportedAndListedIdsAre() {
        List<String> ids = new ArrayList<>();
        overlay.onListed(ids::addAll);
        overlay.applyFromSource(
                EndpointListKind.SAVED,
                List.of(entry("a", EndpointState.LIVE, 0), entry("d", EndpointState.DRAINING, 0)));
        overlay.applyFromSource(
                EndpointListKind.CHANGES,
                List.of(entry("a", EndpointState.DEAD, 0), entry("c", EndpointState.LIVE, 0)));
        assertTrue(overlay.applyMaintenance(Set.of("a"), Map.of()).isEmpty());
        assertTrue(overlay.applyMaintenance(Set.of(), Map.of("a", 5L)).isEmpty());
        assertEquals(List.of("a", "d", "c"), ids);
    }
}
