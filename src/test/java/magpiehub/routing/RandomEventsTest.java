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
    private static final long SECOND = RoutingPolicyFixture.SECOND;

    /** A host that draws events and checks every action. */
    private static final class World extends QuietActions {
        private static final class Job {
            RoutingRequest request;
            RequestClass requestClass;
            boolean over;
            final List<String> replicas = new ArrayList<>();
            final List<Long> sentAt = new ArrayList<>();
            final List<AttemptOutcome> ended = new ArrayList<>();
            int streamingAttempt = -1;

            int open() {
                return (int) ended.stream().filter(outcome -> outcome == null).count();
            }
        }

        final Random random;
        final RoutingSettings settings;
        final RoutingPolicy policy;
        final Map<String, Job> jobs = new HashMap<>();
        final List<Job> live = new ArrayList<>();
        final Map<String, Endpoint> known = new HashMap<>();
        final Set<String> everListed = new HashSet<>();
        final Map<String, Integer> coldSends = new HashMap<>();
        final List<Long> timers = new ArrayList<>();
        long now = SECOND;
        int requests;
        int sends;
        int finals;

        World(long seed) {
            random = new Random(seed);
            List<RequestClass> classes = new ArrayList<>();
            for (int i = 0; i < 1 + random.nextInt(4); i++) {
                classes.add(new RequestClass(
                        "c" + i,
                        Idempotency.values()[random.nextInt(3)],
                        DeduplicationScope.values()[random.nextInt(3)],
                        random.nextInt(3_000_000),
                        true,
                        random.nextInt(2_000_000),
                        random.nextInt(60_000),
                        0,
                        4 * SECOND,
                        60_000,
                        random.nextInt(5),
                        random.nextDouble()));
            }
            List<Tenant> tenants =
                    random.nextBoolean() ? List.of() : List.of(new Tenant("t", 0.5, 5), new Tenant("u", 0.5, 0));
            settings = RoutingPolicyFixture.settings(
                    1 + random.nextInt(30),
                    random.nextBoolean(),
                    random.nextBoolean(),
                    tenants,
                    classes.toArray(new RequestClass[0]));
            policy = new RoutingPolicy(settings, seed, this, now);
        }

        @Override
        public void sendAttempt(String id, String server, long timeout) {
            Job job = jobs.get(id);
            assertNotNull(job, "sent what it did not get");
            assertFalse(job.over, "sent after the final answer");
            assertTrue(everListed.contains(server), "sent to a server never listed");
            Endpoint endpoint = known.get(server);
            assertTrue(
                    endpoint != null && endpoint.state() == EndpointState.LIVE, "sent to a draining or missing server");
            assertTrue(job.replicas.size() < settings.limits().maxAttempts());
            assertTrue(settings.limits().allowsParallelAttempts() || job.open() == 0, "two at once");
            for (int i = 0; i < job.replicas.size(); i++) {
                AttemptOutcome outcome = job.ended.get(i);
                if (job.requestClass.idempotency() == Idempotency.IDEMPOTENT
                        || (outcome != null && outcome.wasNeverExecuted())) {
                    continue;
                }
                assertEquals(
                        Idempotency.IDEMPOTENT_WITH_KEY,
                        job.requestClass.idempotency(),
                        "a side effect may happen twice");
                assertTrue(now - job.sentAt.get(i) <= job.requestClass.deduplicationWindow(), "outside the window");
                Endpoint was = everKnown.get(job.replicas.get(i));
                assertTrue(
                        job.requestClass.deduplicationScope() == DeduplicationScope.ALL
                                || (job.requestClass.deduplicationScope() == DeduplicationScope.ZONE
                                        && was.zone() == endpoint.zone())
                                || (job.requestClass.deduplicationScope() == DeduplicationScope.CELL
                                        && was.cell() == endpoint.cell()),
                        "outside the group");
            }
            if (endpoint.startedAt() > 0
                    && now - endpoint.startedAt() < settings.guarantees().overloadWindow()) {
                coldSends.merge(server + "@" + endpoint.startedAt(), 1, Integer::sum);
            }
            job.replicas.add(server);
            job.sentAt.add(now);
            job.ended.add(null);
            sends++;
        }

        private final Map<String, Endpoint> everKnown = new HashMap<>();

        private void over(String id, boolean refused) {
            Job job = jobs.get(id);
            assertNotNull(job);
            assertFalse(job.over, "two final answers");
            for (int i = 0; refused && i < job.replicas.size(); i++) {
                assertTrue(
                        job.requestClass.idempotency() == Idempotency.IDEMPOTENT
                                || (job.ended.get(i) != null && job.ended.get(i).wasNeverExecuted())
                                || (job.requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                                        && job.requestClass.deduplicationScope() == DeduplicationScope.ALL),
                        "refused what may have run");
            }
            assertEquals(-1, job.streamingAttempt, "ended a stream that runs");
            job.over = true;
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
            assertTrue(settings.limits().allowsCancellation()
                    && attempt < jobs.get(id).replicas.size());
        }

        @Override
        public void setTimer(long at, long token) {
            timers.add(at);
        }

        @Override
        public void sendHealthCheck(String server) {
            assertTrue(settings.limits().allowsHealthChecks() && everListed.contains(server));
        }

        @Override
        public void watchEndpoints() {
            assertTrue(settings.subscribesToEndpoints());
            answers.add(now + random.nextInt(2_000_000));
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
            List<Endpoint> endpoints = new ArrayList<>();
            EndpointListKind kind = EndpointListKind.values()[random.nextInt(4)];
            if (kind == EndpointListKind.COMPLETE || kind == EndpointListKind.SAVED) {
                known.clear();
            }
            for (int i = random.nextInt(12); i > 0 && kind != EndpointListKind.ERROR; i--) {
                String id = "s" + random.nextInt(12);
                if (endpoints.stream().anyMatch(endpoint -> endpoint.id().equals(id))) {
                    continue;
                }
                EndpointState state = EndpointState.values()[random.nextInt(6) > 3 ? 1 + random.nextInt(2) : 0];
                Endpoint endpoint = new Endpoint(
                        id,
                        id.hashCode() % 3,
                        0,
                        id.hashCode() % 4,
                        state,
                        random.nextDouble() * 2,
                        random.nextInt(8) == 0 ? now : 0);
                endpoints.add(endpoint);
                known.put(id, endpoint);
                everKnown.put(id, endpoint);
                everListed.add(id);
            }
            policy.onEndpoints(now, kind, endpoints);
        }

        private void step() {
            now += random.nextInt(20_000);
            for (long t : new ArrayList<>(timers)) {
                if (t <= now) {
                    timers.remove(t);
                    policy.onTimer(now, 1);
                }
            }
            if (random.nextInt(60) == 0) {
                list();
            }
            if (random.nextInt(3) > 0) {
                Job job = new Job();
                int classIndex = random.nextInt(settings.classes().size());
                job.requestClass = settings.classes().get(classIndex);
                job.request = new RoutingRequest(
                        "q" + requests++,
                        classIndex,
                        random.nextInt(3),
                        random.nextInt(50),
                        random.nextInt(12),
                        now + 100_000 + random.nextInt(4_000_000),
                        0,
                        random.nextInt(9000),
                        random.nextInt(5000),
                        100,
                        false,
                        false,
                        false);
                jobs.put(job.request.id(), job);
                live.add(job);
                policy.onRequest(now, job.request);
            }
            for (int k = random.nextInt(4); k > 0 && !live.isEmpty(); k--) {
                advance(live.get(random.nextInt(live.size())));
            }
            for (Job job : new ArrayList<>(live)) {
                if (now >= job.request.deadline() && !job.over && job.streamingAttempt < 0) {
                    for (int i = 0; i < job.replicas.size(); i++) {
                        if (job.ended.get(i) == null) {
                            end(job, i, AttemptOutcome.TIMEOUT);
                        }
                    }
                    assertTrue(job.over, "no answer at the deadline");
                }
                if (job.over && job.open() == 0) {
                    live.remove(job);
                }
            }
        }

        private void advance(Job job) {
            for (int i = 0; i < job.replicas.size(); i++) {
                if (job.ended.get(i) != null || random.nextInt(3) == 0) {
                    continue;
                }
                if (job.streamingAttempt < 0 && !job.over && random.nextInt(3) > 0) {
                    job.streamingAttempt = i;
                    policy.onStreamStarted(now, job.request.id(), i, now - job.sentAt.get(i));
                } else if (job.streamingAttempt < 0 && !job.over && random.nextInt(10) == 0) {
                    job.over = true;
                    policy.onClientDisconnected(now, job.request.id());
                } else {
                    end(
                            job,
                            i,
                            job.streamingAttempt == i
                                    ? random.nextInt(8) == 0 ? AttemptOutcome.RESET : AttemptOutcome.OK
                                    : AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)]);
                }
                return;
            }
        }

        private void end(Job job, int i, AttemptOutcome outcome) {
            AttemptOutcome told = job.over && outcome == AttemptOutcome.OK ? AttemptOutcome.CANCELLED : outcome;
            job.ended.set(i, told);
            boolean settles = told == AttemptOutcome.OK || job.streamingAttempt == i;
            job.over |= settles;
            if (settles) {
                job.streamingAttempt = -1;
            }
            policy.onAttemptEnded(now, job.request.id(), i, told, now - job.sentAt.get(i), job.over, 0, null);
        }
    }

    @Test
    void rulesHoldOverManySettings() {
        int sends = 0;
        int finals = 0;
        for (long seed = 1; seed <= 150; seed++) {
            World world = new World(seed);
            for (int i = 0; i < 1500; i++) {
                world.step();
            }
            world.coldSends.forEach((who, n) -> assertTrue(n <= 12, who + " got " + n + " in its first moments"));
            sends += world.sends;
            finals += world.finals;
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
        a.jobs.forEach((id, job) -> assertEquals(job.replicas, b.jobs.get(id).replicas));
    }
}
