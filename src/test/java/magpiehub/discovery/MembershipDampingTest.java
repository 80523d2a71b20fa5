package magpiehub.discovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import magpiehub.config.EndpointEntry;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointState;
import org.junit.Test;

/** Membership's doubts, driven directly. */
public class MembershipDampingTest {
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

    private static MembershipDamping of(int n) {
        MembershipDamping m = new MembershipDamping(GUARDED);
        m.apply(
                whole(
                        IntStream.range(0, n)
                                .mapToObj(i -> engine(i, EndpointState.LIVE))
                                .toList(),
                        List.of()),
                0);
        return m;
    }

    private static List<String> ids(int from, int to) {
        return IntStream.range(from, to).mapToObj(i -> "e" + i).toList();
    }

    private static String states(List<EndpointEntry> told) {
        return told.stream()
                .map(e -> e.server().id() + " " + e.server().state())
                .sorted()
                .collect(Collectors.joining(", "));
    }

    @Test
    public void aListThatLosesHalfTheFleetNeedsASecondRead() {
        MembershipDamping m = of(10);
        assertEquals("", states(m.apply(whole(List.of(), ids(0, 5)), S)));
        assertTrue(m.takeConfirmationRequest());
        assertFalse("asked once", m.takeConfirmationRequest());
        assertEquals(10, m.entries().size());
        // Nothing comes within the set time: it is asked again, and nobody is dropped.
        assertEquals(S + 1_500_000, m.nextTimerMicros());
        assertEquals("", states(m.onTimer(m.nextTimerMicros())));
        assertTrue(m.takeConfirmationRequest());
        assertEquals("e0 DEAD, e1 DEAD, e2 DEAD, e3 DEAD", states(m.applyConfirmation(Set.copyOf(ids(4, 10)), 4 * S)));
        assertEquals(
                "e4 is in the second list, the first was wrong", 6, m.entries().size());
    }

    @Test
    public void aListThatLosesFewIsBelieved() {
        MembershipDamping m = of(10);
        assertEquals("e0 DEAD, e1 DEAD", states(m.apply(whole(List.of(), ids(0, 2)), S)));
        assertFalse(m.takeConfirmationRequest());
    }

    @Test
    public void whatAChangeSaysIsObeyedAtOnceWhateverItsSize() {
        MembershipDamping m = of(10);
        assertEquals(10, m.apply(change(List.of(), ids(0, 10)), S).size());
        MembershipDamping d = of(10);
        List<EndpointEntry> drains = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            drains.add(engine(i, EndpointState.DRAINING));
        }
        assertEquals(
                10,
                d.apply(whole(drains, List.of()), S).stream()
                        .filter(e -> e.server().state() == EndpointState.DRAINING)
                        .count());
    }

    @Test
    public void aHeldEngineThatIsNamedAgainStaysWithItsNewEntry() {
        MembershipDamping m = of(10);
        m.apply(whole(List.of(), ids(0, 5)), S);
        assertEquals("e0 DRAINING", states(m.apply(change(List.of(engine(0, EndpointState.DRAINING)), List.of()), S)));
        assertFalse(m.heldIds().contains("e0"));
        assertEquals(4, m.applyConfirmation(Set.of(), 2 * S).size());
    }

    @Test
    public void anEngineThatFlapsReturnsOnceItHasBeenStill() {
        MembershipDamping m = of(10);
        for (int i = 1; i <= 4; i++) {
            assertEquals("away at once", "e0 DEAD", states(m.apply(change(List.of(), ids(0, 1)), i * S)));
            assertEquals(
                    i < 4 ? "e0 LIVE" : "e0 DRAINING",
                    states(m.apply(change(List.of(engine(0, EndpointState.LIVE)), List.of()), i * S + 1)));
        }
        assertEquals(1, m.suppressedCount());
        String told = "";
        long now = 0;
        while (told.isEmpty()) {
            now = m.nextTimerMicros();
            told = states(m.onTimer(now));
        }
        assertEquals("e0 LIVE", told);
        assertEquals("log2(3.4) half-lives of 10 s", 22, now / 1e6, 1.0);
        while (m.nextTimerMicros() != Long.MAX_VALUE) {
            m.onTimer(m.nextTimerMicros());
        }
        assertEquals(0, m.suppressedCount());
    }

    @Test
    public void aFleetThatFlapsAsOneIsNotSuppressed() {
        MembershipDamping m = of(10);
        for (int i = 1; i <= 6; i++) {
            m.apply(change(List.of(), ids(0, 10)), i * S);
            m.apply(
                    change(
                            IntStream.range(0, 10)
                                    .mapToObj(k -> engine(k, EndpointState.LIVE))
                                    .toList(),
                            List.of()),
                    i * S + 1);
        }
        assertTrue(m.suppressedCount() <= 5);
        assertTrue(m.statistics().spared() > 0);
    }
}
