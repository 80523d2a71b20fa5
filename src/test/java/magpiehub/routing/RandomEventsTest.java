package magpiehub.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Seeded random events over many settings, with the rules checked after each action. */
class RandomEventsTest {
    private static final long S = RoutingPolicyFixture.SECOND;

    /** A world that checks what one node does. */
    private static final class World extends QuietActions {
        private static final class Job {
            RoutingRequest r;
            RequestClass c;
            boolean over;
            final List<String> at = new ArrayList<>();
            final List<Long> sentAt = new ArrayList<>();
            final List<AttemptOutcome> ended = new ArrayList<>();
            int begun = -1;

            int open() {
                return (int) ended.stream().filter(o -> o == null).count();
            }
        }

        final Random rnd;
        final RoutingSettings s;
        final RoutingPolicy node;
        final Map<String, Job> jobs = new HashMap<>();
        final List<Job> live = new ArrayList<>();
        final Map<String, Endpoint> known = new HashMap<>();
        final Set<String> everListed = new HashSet<>();
        final Map<String, Integer> coldSends = new HashMap<>();
        final List<Long> timers = new ArrayList<>();
        long now = S;
        int requests;
        int sends;
        int finals;

        World(long seed) {
            rnd = new Random(seed);
            List<RequestClass> classes = new ArrayList<>();
            for (int i = 0; i < 1 + rnd.nextInt(4); i++) {
                classes.add(new RequestClass(
                        "c" + i,
                        Idempotency.values()[rnd.nextInt(3)],
                        DeduplicationScope.values()[rnd.nextInt(3)],
                        rnd.nextInt(3_000_000),
                        true,
                        rnd.nextInt(2_000_000),
                        rnd.nextInt(60_000),
                        0,
                        4 * S,
                        60_000,
                        rnd.nextInt(5),
                        rnd.nextDouble()));
            }
            List<Tenant> tenants =
                    rnd.nextBoolean() ? List.of() : List.of(new Tenant("t", 0.5, 5), new Tenant("u", 0.5, 0));
            s = RoutingPolicyFixture.settings(
                    1 + rnd.nextInt(30),
                    rnd.nextBoolean(),
                    rnd.nextBoolean(),
                    tenants,
                    classes.toArray(new RequestClass[0]));
            node = new RoutingPolicy(s, seed, this, now);
        }

        @Override
        public void sendAttempt(String id, String server, long timeout) {
            Job j = jobs.get(id);
            assertNotNull(j, "sent what it did not get");
            assertFalse(j.over, "sent after the final answer");
            assertTrue(everListed.contains(server), "sent to a server never listed");
            Endpoint e = known.get(server);
            assertTrue(e != null && e.state() == EndpointState.LIVE, "sent to a draining or missing server");
            assertTrue(j.at.size() < s.limits().maxAttempts());
            assertTrue(s.limits().allowsParallelAttempts() || j.open() == 0, "two at once");
            for (int i = 0; i < j.at.size(); i++) {
                AttemptOutcome o = j.ended.get(i);
                if (j.c.idempotency() == Idempotency.IDEMPOTENT || (o != null && o.neverRan)) {
                    continue;
                }
                assertEquals(Idempotency.IDEMPOTENT_WITH_KEY, j.c.idempotency(), "a side effect may happen twice");
                assertTrue(now - j.sentAt.get(i) <= j.c.deduplicationWindow(), "outside the window");
                Endpoint was = everKnown.get(j.at.get(i));
                assertTrue(
                        j.c.deduplicationScope() == DeduplicationScope.ALL
                                || (j.c.deduplicationScope() == DeduplicationScope.ZONE && was.zone() == e.zone())
                                || (j.c.deduplicationScope() == DeduplicationScope.CELL && was.cell() == e.cell()),
                        "outside the group");
            }
            if (e.onlineSince() > 0 && now - e.onlineSince() < s.guarantees().overloadWindow()) {
                coldSends.merge(server + "@" + e.onlineSince(), 1, Integer::sum);
            }
            j.at.add(server);
            j.sentAt.add(now);
            j.ended.add(null);
            sends++;
        }

        private final Map<String, Endpoint> everKnown = new HashMap<>();

        private void over(String id, boolean refused) {
            Job j = jobs.get(id);
            assertNotNull(j);
            assertFalse(j.over, "two final answers");
            for (int i = 0; refused && i < j.at.size(); i++) {
                assertTrue(
                        j.c.idempotency() == Idempotency.IDEMPOTENT
                                || (j.ended.get(i) != null && j.ended.get(i).neverRan)
                                || (j.c.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                                        && j.c.deduplicationScope() == DeduplicationScope.ALL),
                        "refused what may have run");
            }
            assertEquals(-1, j.begun, "ended a stream that runs");
            j.over = true;
            finals++;
        }

        @Override
        public void reject(String id, long retryAfter) {
            over(id, true);
        }

        @Override
        public void fail(String id) {
            over(id, false);
        }

        @Override
        public void cancelAttempt(String id, int attempt) {
            assertTrue(
                    s.limits().allowsCancellation() && attempt < jobs.get(id).at.size());
        }

        @Override
        public void setTimer(long at, long token) {
            timers.add(at);
        }

        @Override
        public void probe(String server) {
            assertTrue(s.limits().allowsHealthChecks() && everListed.contains(server));
        }

        @Override
        public void watch() {
            assertTrue(s.subscribesToEndpoints());
            answers.add(now + rnd.nextInt(2_000_000));
        }

        private final List<Long> answers = new ArrayList<>();

        @Override
        public void migrateStream(String id) {
            throw new AssertionError("not allowed here");
        }

        @Override
        public void sendToPeer(int peer, byte[] payload) {
            throw new AssertionError("not allowed here");
        }

        private void list() {
            List<Endpoint> l = new ArrayList<>();
            EndpointListKind kind = EndpointListKind.values()[rnd.nextInt(4)];
            if (kind == EndpointListKind.COMPLETE || kind == EndpointListKind.SAVED) {
                known.clear();
            }
            for (int i = rnd.nextInt(12); i > 0 && kind != EndpointListKind.ERROR; i--) {
                String id = "s" + rnd.nextInt(12);
                if (l.stream().anyMatch(e -> e.id().equals(id))) {
                    continue;
                }
                EndpointState state = EndpointState.values()[rnd.nextInt(6) > 3 ? 1 + rnd.nextInt(2) : 0];
                Endpoint e = new Endpoint(
                        id,
                        id.hashCode() % 3,
                        0,
                        id.hashCode() % 4,
                        state,
                        rnd.nextDouble() * 2,
                        rnd.nextInt(8) == 0 ? now : 0);
                l.add(e);
                known.put(id, e);
                everKnown.put(id, e);
                everListed.add(id);
            }
            node.onEndpoints(now, kind, l);
        }

        private void step() {
            now += rnd.nextInt(20_000);
            for (long t : new ArrayList<>(timers)) {
                if (t <= now) {
                    timers.remove(t);
                    node.onTimer(now, 1);
                }
            }
            if (rnd.nextInt(60) == 0) {
                list();
            }
            if (rnd.nextInt(3) > 0) {
                Job j = new Job();
                int cls = rnd.nextInt(s.classes().size());
                j.c = s.classes().get(cls);
                j.r = new RoutingRequest(
                        "q" + requests++,
                        cls,
                        rnd.nextInt(3),
                        rnd.nextInt(50),
                        rnd.nextInt(12),
                        now + 100_000 + rnd.nextInt(4_000_000),
                        0,
                        rnd.nextInt(9000),
                        rnd.nextInt(5000),
                        100,
                        false,
                        false,
                        false);
                jobs.put(j.r.id(), j);
                live.add(j);
                node.onRequest(now, j.r);
            }
            for (int k = rnd.nextInt(4); k > 0 && !live.isEmpty(); k--) {
                advance(live.get(rnd.nextInt(live.size())));
            }
            for (Job j : new ArrayList<>(live)) {
                if (now >= j.r.deadline() && !j.over && j.begun < 0) {
                    for (int i = 0; i < j.at.size(); i++) {
                        if (j.ended.get(i) == null) {
                            end(j, i, AttemptOutcome.TIMEOUT);
                        }
                    }
                    assertTrue(j.over, "no answer at the deadline");
                }
                if (j.over && j.open() == 0) {
                    live.remove(j);
                }
            }
        }

        private void advance(Job j) {
            for (int i = 0; i < j.at.size(); i++) {
                if (j.ended.get(i) != null || rnd.nextInt(3) == 0) {
                    continue;
                }
                if (j.begun < 0 && !j.over && rnd.nextInt(3) > 0) {
                    j.begun = i;
                    node.onStreamStarted(now, j.r.id(), i, now - j.sentAt.get(i));
                } else if (j.begun < 0 && !j.over && rnd.nextInt(10) == 0) {
                    j.over = true;
                    node.onClientGone(now, j.r.id());
                } else {
                    end(
                            j,
                            i,
                            j.begun == i
                                    ? rnd.nextInt(8) == 0 ? AttemptOutcome.RESET : AttemptOutcome.OK
                                    : AttemptOutcome.values()[rnd.nextInt(AttemptOutcome.values().length)]);
                }
                return;
            }
        }

        private void end(Job j, int i, AttemptOutcome o) {
            AttemptOutcome told = j.over && o == AttemptOutcome.OK ? AttemptOutcome.CANCELLED : o;
            j.ended.set(i, told);
            boolean settles = told == AttemptOutcome.OK || j.begun == i;
            j.over |= settles;
            if (settles) {
                j.begun = -1;
            }
            node.onAttemptEnded(now, j.r.id(), i, told, now - j.sentAt.get(i), j.over, 0, null);
        }
    }

    @Test
    void rulesHoldOverManySettings() {
        int sends = 0;
        int finals = 0;
        for (long seed = 1; seed <= 150; seed++) {
            World w = new World(seed);
            for (int i = 0; i < 1500; i++) {
                w.step();
            }
            w.coldSends.forEach((who, n) -> assertTrue(n <= 12, who + " got " + n + " in its first moments"));
            sends += w.sends;
            finals += w.finals;
        }
        assertTrue(sends > 30_000 && finals > 10_000, sends + " sends, " + finals + " refused or failed");
    }

    @Test
    void sameEventsSameActions() {
        World a = new World(77);
        World b = new World(77);
        for (int i = 0; i < 3000; i++) {
            a.step();
            b.step();
        }
        assertEquals(a.sends, b.sends);
        a.jobs.forEach((id, j) -> assertEquals(j.at, b.jobs.get(id).at));
    }
}
