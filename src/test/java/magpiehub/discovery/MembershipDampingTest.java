package magpiehub.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import magpiehub.config.EndpointEntry;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointState;
import org.junit.jupiter.api.Test;

/** Tests the confirmation of removals and flap damping directly, without a registry. */
class MembershipDampingTest {
    private static final long SECOND = 1_000_000;
    private static final MembershipDamping.Settings SETTINGS =
            new MembershipDamping.Settings(0.3, 2, 1_500_000, 10 * SECOND, 3, 1, 60 * SECOND, 0.5);

    private static EndpointEntry entry(int i, EndpointState state) {
        return new EndpointEntry(new Endpoint("e" + i, 0, 0, 0, state, 1, 0), "10.0.0.1:" + (1 + i));
    }

    private static ListDelta completeList(List<EndpointEntry> put, List<String> removed) {
        return new ListDelta(1, true, false, put, removed);
    }

    private static ListDelta change(List<EndpointEntry> put, List<String> removed) {
        return new ListDelta(1, false, false, put, removed);
    }

    private static MembershipDamping fleetOf(int size) {
        MembershipDamping damping = new MembershipDamping(SETTINGS);
        damping.apply(
                completeList(
                        IntStream.range(0, size)
                                .mapToObj(i -> entry(i, EndpointState.LIVE))
                                .toList(),
                        List.of()),
                0);
        return damping;
    }

    private static List<String> ids(int from, int to) {
        return IntStream.range(from, to).mapToObj(i -> "e" + i).toList();
    }

    private static String states(List<EndpointEntry> reported) {
        return reported.stream()
                .map(e -> e.endpoint().id() + " " + e.endpoint().state())
                .sorted()
                .collect(Collectors.joining(", "));
    }

    @Test
    void removalOfHalfTheFleetNeedsASecondRead() {
        MembershipDamping damping = fleetOf(10);
        assertEquals("", states(damping.apply(completeList(List.of(), ids(0, 5)), SECOND)));
        assertTrue(damping.takeConfirmationRequest());
        assertFalse(damping.takeConfirmationRequest(), "a second read is requested once");
        assertEquals(10, damping.entries().size());
        // No list is read within the time limit: a read is requested again, and no endpoint is removed.
        assertEquals(SECOND + 1_500_000, damping.nextTimerMicros());
        assertEquals("", states(damping.onTimer(damping.nextTimerMicros())));
        assertTrue(damping.takeConfirmationRequest());
        assertEquals(
                "e0 DEAD, e1 DEAD, e2 DEAD, e3 DEAD",
                states(damping.applyConfirmation(Set.copyOf(ids(4, 10)), 4 * SECOND)));
        assertEquals(6, damping.entries().size(), "e4 is in the second list, so the first one was wrong");
    }

    @Test
    void removalOfFewIsAppliedAtOnce() {
        MembershipDamping damping = fleetOf(10);
        assertEquals("e0 DEAD, e1 DEAD", states(damping.apply(completeList(List.of(), ids(0, 2)), SECOND)));
        assertFalse(damping.takeConfirmationRequest());
    }

    @Test
    void changesAreAppliedAtOnceWhateverTheirSize() {
        MembershipDamping damping = fleetOf(10);
        assertEquals(10, damping.apply(change(List.of(), ids(0, 10)), SECOND).size());
        MembershipDamping draining = fleetOf(10);
        List<EndpointEntry> drainingEntries = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            drainingEntries.add(entry(i, EndpointState.DRAINING));
        }
        assertEquals(
                10,
                draining.apply(completeList(drainingEntries, List.of()), SECOND).stream()
                        .filter(e -> e.endpoint().state() == EndpointState.DRAINING)
                        .count());
    }

    @Test
    void heldEndpointThatIsListedAgainHasItsNewEntry() {
        MembershipDamping damping = fleetOf(10);
        damping.apply(completeList(List.of(), ids(0, 5)), SECOND);
        assertEquals(
                "e0 DRAINING",
                states(damping.apply(change(List.of(entry(0, EndpointState.DRAINING)), List.of()), SECOND)));
        assertFalse(damping.heldIds().contains("e0"));
        assertEquals(4, damping.applyConfirmation(Set.of(), 2 * SECOND).size());
    }

    @Test
    void flappingEndpointIsSuppressedUntilItIsStable() {
        MembershipDamping damping = fleetOf(10);
        for (int i = 1; i <= 4; i++) {
            assertEquals(
                    "e0 DEAD", states(damping.apply(change(List.of(), ids(0, 1)), i * SECOND)), "removed immediately");
            assertEquals(
                    i < 4 ? "e0 LIVE" : "e0 DRAINING",
                    states(damping.apply(change(List.of(entry(0, EndpointState.LIVE)), List.of()), i * SECOND + 1)));
        }
        assertEquals(1, damping.suppressedCount());
        String reported = "";
        long now = 0;
        while (reported.isEmpty()) {
            now = damping.nextTimerMicros();
            reported = states(damping.onTimer(now));
        }
        assertEquals("e0 LIVE", reported);
        assertEquals(22, now / 1e6, 1.0, "log2(3.4) half-lives of 10 s");
        while (damping.nextTimerMicros() != Long.MAX_VALUE) {
            damping.onTimer(damping.nextTimerMicros());
        }
        assertEquals(0, damping.suppressedCount());
    }

    @Test
    void flappingFleetIsNotSuppressed() {
        MembershipDamping damping = fleetOf(10);
        for (int i = 1; i <= 6; i++) {
            damping.apply(change(List.of(), ids(0, 10)), i * SECOND);
            damping.apply(
                    change(
                            IntStream.range(0, 10)
                                    .mapToObj(k -> entry(k, EndpointState.LIVE))
                                    .toList(),
                            List.of()),
                    i * SECOND + 1);
        }
        assertTrue(damping.suppressedCount() <= 5);
        assertTrue(damping.statistics().exempted() > 0);
    }
}
