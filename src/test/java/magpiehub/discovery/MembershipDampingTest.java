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

/** Doubted removals and flap damping, driven directly. */
class MembershipDampingTest {
    private static final long S = 1_000_000;
    private static final MembershipDamping.Settings GUARDED =
            new MembershipDamping.Settings(0.3, 2, 1_500_000, 10 * S, 3, 1, 60 * S, 0.5);

    private static EndpointEntry engine(int i, EndpointState state) {
        return new EndpointEntry(new Endpoint("e" + i, 0, 0, 0, state, 1, 0), "10.0.0.1:" + (1 + i));
    }

    private static ListDelta whole(List<EndpointEntry> put, List<String> gone) {
        return new ListDelta(1, true, false, put, gone);
    }

    private static ListDelta change(List<EndpointEntry> put, List<String> gone) {
        return new ListDelta(1, false, false, put, gone);
    }

    private static MembershipDamping fleetOf(int size) {
        MembershipDamping damping = new MembershipDamping(GUARDED);
        damping.apply(
                whole(
                        IntStream.range(0, size)
                                .mapToObj(i -> engine(i, EndpointState.LIVE))
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
        assertEquals("", states(damping.apply(whole(List.of(), ids(0, 5)), S)));
        assertTrue(damping.takeConfirmationRequest());
        assertFalse(damping.takeConfirmationRequest(), "asked once");
        assertEquals(10, damping.entries().size());
        // Nothing is read within the set time: a read is requested again, and no endpoint is removed.
        assertEquals(S + 1_500_000, damping.nextTimerMicros());
        assertEquals("", states(damping.onTimer(damping.nextTimerMicros())));
        assertTrue(damping.takeConfirmationRequest());
        assertEquals(
                "e0 DEAD, e1 DEAD, e2 DEAD, e3 DEAD", states(damping.applyConfirmation(Set.copyOf(ids(4, 10)), 4 * S)));
        assertEquals(6, damping.entries().size(), "e4 is in the second list, the first was wrong");
    }

    @Test
    void removalOfFewIsAppliedAtOnce() {
        MembershipDamping damping = fleetOf(10);
        assertEquals("e0 DEAD, e1 DEAD", states(damping.apply(whole(List.of(), ids(0, 2)), S)));
        assertFalse(damping.takeConfirmationRequest());
    }

    @Test
    void changesAreAppliedAtOnceWhateverTheirSize() {
        MembershipDamping damping = fleetOf(10);
        assertEquals(10, damping.apply(change(List.of(), ids(0, 10)), S).size());
        MembershipDamping draining = fleetOf(10);
        List<EndpointEntry> drains = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            drains.add(engine(i, EndpointState.DRAINING));
        }
        assertEquals(
                10,
                draining.apply(whole(drains, List.of()), S).stream()
                        .filter(e -> e.endpoint().state() == EndpointState.DRAINING)
                        .count());
    }

    @Test
    void heldEndpointThatIsListedAgainHasItsNewEntry() {
        MembershipDamping damping = fleetOf(10);
        damping.apply(whole(List.of(), ids(0, 5)), S);
        assertEquals(
                "e0 DRAINING", states(damping.apply(change(List.of(engine(0, EndpointState.DRAINING)), List.of()), S)));
        assertFalse(damping.heldIds().contains("e0"));
        assertEquals(4, damping.applyConfirmation(Set.of(), 2 * S).size());
    }

    @Test
    void flappingEndpointIsSuppressedUntilItIsStable() {
        MembershipDamping damping = fleetOf(10);
        for (int i = 1; i <= 4; i++) {
            assertEquals("e0 DEAD", states(damping.apply(change(List.of(), ids(0, 1)), i * S)), "away at once");
            assertEquals(
                    i < 4 ? "e0 LIVE" : "e0 DRAINING",
                    states(damping.apply(change(List.of(engine(0, EndpointState.LIVE)), List.of()), i * S + 1)));
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
            damping.apply(change(List.of(), ids(0, 10)), i * S);
            damping.apply(
                    change(
                            IntStream.range(0, 10)
                                    .mapToObj(k -> engine(k, EndpointState.LIVE))
                                    .toList(),
                            List.of()),
                    i * S + 1);
        }
        assertTrue(damping.suppressedCount() <= 5);
        assertTrue(damping.statistics().exempted() > 0);
    }
}
