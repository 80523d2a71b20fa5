package magpiehub.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Which idle connections are closed, and in which order. */
class IdleEvictionTest {
    private static final long SECOND = 1_000_000;
    private static final int MAX_CONNECTIONS = 30;
    private static final int SOFT_LIMIT = MAX_CONNECTIONS / 3;

    private final List<Candidate> open = new ArrayList<>();
    private final List<String> evicted = new ArrayList<>();
    private final List<String> drained = new ArrayList<>();
    private long nowMicros = 100 * SECOND;
    private final IdleEviction eviction =
            new IdleEviction(open, new ConnectionCapacity(MAX_CONNECTIONS), () -> nowMicros);

    private class Candidate implements EvictionCandidate {
        private final String name;
        private final long idleSinceMicros;
        private final boolean receivedRequest;
        private boolean receiving;
        private boolean closeRequested;

        Candidate(String name, long idleSinceMicros, boolean receivedRequest) {
            this.name = name;
            this.idleSinceMicros = idleSinceMicros;
            this.receivedRequest = receivedRequest;
        }

        @Override
        public long idleSinceMicros() {
            return idleSinceMicros;
        }

        @Override
        public boolean hasReceivedRequest() {
            return receivedRequest;
        }

        @Override
        public boolean isReceiving() {
            return receiving;
        }

        @Override
        public boolean isCloseRequested() {
            return closeRequested;
        }

        @Override
        public void evictIfIdle() {
            closeRequested = true;
            evicted.add(name);
        }

        @Override
        public void closeIfIdle() {
            closeRequested = true;
            drained.add(name);
        }
    }

    private Candidate idleFor(String name, long micros) {
        return add(new Candidate(name, nowMicros - micros, true));
    }

    private Candidate withoutRequestFor(String name, long micros) {
        return add(new Candidate(name, nowMicros - micros, false));
    }

    private Candidate add(Candidate candidate) {
        open.add(candidate);
        return candidate;
    }

    private void addBusy(int count) {
        for (int i = 0; i < count; i++) {
            add(new Candidate("busy", EvictionCandidate.BUSY, true));
        }
    }

    @Test
    void evictsNothingUpToTheSoftLimit() {
        idleFor("idle", 60 * SECOND);
        addBusy(SOFT_LIMIT - 1);
        eviction.evictExcess();
        assertEquals(List.of(), evicted);
    }

    @Test
    void evictsTheLongestIdleFirstAndNoMoreThanNeeded() {
        idleFor("b", 4 * SECOND);
        idleFor("c", 3 * SECOND);
        idleFor("a", 5 * SECOND);
        addBusy(SOFT_LIMIT - 1);
        eviction.evictExcess();
        assertEquals(List.of("a", "b"), evicted);
    }

    /**
     * Guards against an inconsistent sort order: connections become busy and idle again while they are sorted, which
     * must not make the sort fail.
     */
    @Test
    void evictsWhileConnectionsTurnIdle() {
        SplittableRandom random = new SplittableRandom(7);
        for (int i = 0; i < 1_000; i++) {
            add(new Candidate("changing", 0, true) {
                @Override
                public long idleSinceMicros() {
                    // Few distinct values, so that the sort finds presorted runs and relies on them.
                    return random.nextLong(4) * SECOND;
                }
            });
        }
        for (int round = 0; round < 100; round++) {
            evicted.clear();
            eviction.evictExcess();
            assertFalse(evicted.isEmpty());
            open.forEach(candidate -> candidate.closeRequested = false);
        }
    }

    @Test
    void neverEvictsBusyOrRecentlyIdleOrAlreadyAskedConnections() {
        idleFor("recently idle", 2 * SECOND - 1);
        idleFor("asked to close", 9 * SECOND).closeRequested = true;
        idleFor("idle", 2 * SECOND);
        addBusy(SOFT_LIMIT);
        eviction.evictExcess();
        assertEquals(List.of("idle"), evicted);
    }

    @Test
    void evictsSilentClientsAfterIdleOnes() {
        withoutRequestFor("silent", 9 * SECOND);
        withoutRequestFor("just connected", SECOND - 1);
        withoutRequestFor("sending", 9 * SECOND).receiving = true;
        idleFor("idle", 2 * SECOND);
        addBusy(SOFT_LIMIT);
        eviction.evictExcess();
        assertEquals(List.of("idle", "silent"), evicted);
    }

    @Test
    void nearlyFullEvictsSlowFirstRequestsToo() {
        for (int i = 0; i < 5; i++) {
            withoutRequestFor("sending " + i, SECOND - i).receiving = true;
        }
        withoutRequestFor("just connected", 299_999);
        addBusy(20);
        eviction.evictExcess();
        assertEquals(List.of(), evicted, "with 26 of 30 connections");
        addBusy(1);
        eviction.evictExcess();
        assertEquals(
                List.of("sending 0", "sending 1", "sending 2", "sending 3"),
                evicted,
                "a tenth of the maximum plus one");
    }

    @Test
    void drainClosesIdleConnectionsLongestIdleFirst() {
        idleFor("b", SECOND);
        idleFor("a", 2 * SECOND);
        withoutRequestFor("silent", 9 * SECOND);
        addBusy(1);
        DrainState drain = new DrainState(() -> nowMicros);
        eviction.drainIdle(drain, nowMicros, 50_000);
        assertEquals(List.of(), drained);
        drain.closeIdleBy(nowMicros + SECOND);
        eviction.drainIdle(drain, nowMicros, 50_000);
        assertEquals(List.of("a"), drained);
        nowMicros += SECOND;
        eviction.drainIdle(drain, nowMicros, 50_000);
        assertEquals(List.of("a", "b"), drained);
    }
}
