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

/** Feeds seeded random events under many settings and checks the rules for each action. */
class RandomEventsTest {
    private static final long SECOND = RoutingPolicyFixture.SECOND;

    /** A host that draws random events and checks every action. */
    private static final class CheckingHost extends QuietActions {
        private static final class TrackedRequest {
            RoutingRequest request;
            RequestClass requestClass;
            boolean finished;
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
        final Map<String, TrackedRequest> trackedRequests = new HashMap<>();
        final List<TrackedRequest> unfinished = new ArrayList<>();
        final Map<String, Endpoint> currentEndpoints = new HashMap<>();
        final Set<String> everListed = new HashSet<>();
        final Map<String, Integer> sendsToStartedReplicas = new HashMap<>();
        final List<Long> timers = new ArrayList<>();
        long now = SECOND;
        int requests;
        int sends;
        int finalAnswers;

        CheckingHost(long seed) {
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
        public void sendAttempt(String id, String replica, long timeout, long writeDeadline) {
            TrackedRequest tracked = trackedRequests.get(id);
            assertNotNull(tracked, "sent an unknown request");
            assertFalse(tracked.finished, "sent after the final answer");
            assertTrue(everListed.contains(replica), "sent to a replica that was never listed");
            Endpoint endpoint = currentEndpoints.get(replica);
            assertTrue(
                    endpoint != null && endpoint.state() == EndpointState.LIVE,
                    "sent to a draining or missing replica");
            assertTrue(tracked.replicas.size() < settings.limits().maxAttempts());
            assertTrue(settings.limits().allowsParallelAttempts() || tracked.open() == 0, "two attempts in parallel");
            for (int i = 0; i < tracked.replicas.size(); i++) {
                AttemptOutcome outcome = tracked.ended.get(i);
                if (tracked.requestClass.idempotency() == Idempotency.IDEMPOTENT
                        || (outcome != null && outcome.wasNeverExecuted())) {
                    continue;
                }
                assertEquals(
                        Idempotency.IDEMPOTENT_WITH_KEY,
                        tracked.requestClass.idempotency(),
                        "a request that is not idempotent may be executed twice");
                assertTrue(
                        now - tracked.sentAt.get(i) <= tracked.requestClass.deduplicationWindow(),
                        "after the deduplication window");
                assertTrue(
                        writeDeadline <= tracked.sentAt.get(i) + tracked.requestClass.deduplicationWindow(),
                        "may be written after the deduplication window");
                Endpoint earlier = lastEndpoints.get(tracked.replicas.get(i));
                assertTrue(
                        tracked.requestClass.deduplicationScope() == DeduplicationScope.ALL
                                || (tracked.requestClass.deduplicationScope() == DeduplicationScope.ZONE
                                        && earlier.zone() == endpoint.zone())
                                || (tracked.requestClass.deduplicationScope() == DeduplicationScope.CELL
                                        && earlier.cell() == endpoint.cell()),
                        "outside the deduplication scope");
            }
            if (endpoint.startedAt() > 0
                    && now - endpoint.startedAt() < settings.guarantees().overloadWindow()) {
                sendsToStartedReplicas.merge(replica + "@" + endpoint.startedAt(), 1, Integer::sum);
            }
            tracked.replicas.add(replica);
            tracked.sentAt.add(now);
            tracked.ended.add(null);
            sends++;
        }

        private final Map<String, Endpoint> lastEndpoints = new HashMap<>();

        private void finished(String id, boolean rejected) {
            TrackedRequest tracked = trackedRequests.get(id);
            assertNotNull(tracked);
            assertFalse(tracked.finished, "two final answers");
            for (int i = 0; rejected && i < tracked.replicas.size(); i++) {
                assertTrue(
                        tracked.requestClass.idempotency() == Idempotency.IDEMPOTENT
                                || (tracked.ended.get(i) != null
                                        && tracked.ended.get(i).wasNeverExecuted())
                                || (tracked.requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                                        && tracked.requestClass.deduplicationScope() == DeduplicationScope.ALL),
                        "rejected a request that may have been executed");
            }
            assertEquals(-1, tracked.streamingAttempt, "ended a running stream");
            tracked.finished = true;
            finalAnswers++;
        }

        @Override
        public void reject(String id, long retryAfter) {
            finished(id, true);
        }

        @Override
        public void fail(String id) {
            finished(id, false);
        }

        @Override
        public void cancelAttempt(String id, int attempt) {
            assertTrue(settings.limits().allowsCancellation()
                    && attempt < trackedRequests.get(id).replicas.size());
        }

        @Override
        public void setTimer(long at, long token) {
            timers.add(at);
        }

        @Override
        public void sendHealthCheck(String replica) {
            assertTrue(settings.limits().allowsHealthChecks() && everListed.contains(replica));
        }

        @Override
        public void watchEndpoints() {
            assertTrue(settings.subscribesToEndpoints());
            watchAnswers.add(now + random.nextInt(2_000_000));
        }

        private final List<Long> watchAnswers = new ArrayList<>();

        @Override
        public void migrateStream(String id) {
            throw new AssertionError("not allowed by these settings");
        }

        @Override
        public void sendToPeer(int peer, byte[] payload) {
            throw new AssertionError("not allowed by these settings");
        }

        private void list() {
            List<Endpoint> endpoints = new ArrayList<>();
            EndpointListKind kind = EndpointListKind.values()[random.nextInt(4)];
            if (kind == EndpointListKind.COMPLETE || kind == EndpointListKind.SAVED) {
                currentEndpoints.clear();
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
                currentEndpoints.put(id, endpoint);
                lastEndpoints.put(id, endpoint);
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
                TrackedRequest tracked = new TrackedRequest();
                int classIndex = random.nextInt(settings.classes().size());
                tracked.requestClass = settings.classes().get(classIndex);
                tracked.request = new RoutingRequest(
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
                trackedRequests.put(tracked.request.id(), tracked);
                unfinished.add(tracked);
                policy.onRequest(now, tracked.request);
            }
            for (int k = random.nextInt(4); k > 0 && !unfinished.isEmpty(); k--) {
                advance(unfinished.get(random.nextInt(unfinished.size())));
            }
            for (TrackedRequest tracked : new ArrayList<>(unfinished)) {
                if (now >= tracked.request.deadline() && !tracked.finished && tracked.streamingAttempt < 0) {
                    for (int i = 0; i < tracked.replicas.size(); i++) {
                        if (tracked.ended.get(i) == null) {
                            end(tracked, i, AttemptOutcome.TIMEOUT);
                        }
                    }
                    assertTrue(tracked.finished, "no answer at the deadline");
                }
                if (tracked.finished && tracked.open() == 0) {
                    unfinished.remove(tracked);
                }
            }
        }

        private void advance(TrackedRequest tracked) {
            for (int i = 0; i < tracked.replicas.size(); i++) {
                if (tracked.ended.get(i) != null || random.nextInt(3) == 0) {
                    continue;
                }
                if (tracked.streamingAttempt < 0 && !tracked.finished && random.nextInt(3) > 0) {
                    tracked.streamingAttempt = i;
                    policy.onStreamStarted(now, tracked.request.id(), i, now - tracked.sentAt.get(i));
                } else if (tracked.streamingAttempt < 0 && !tracked.finished && random.nextInt(10) == 0) {
                    tracked.finished = true;
                    policy.onClientDisconnected(now, tracked.request.id());
                } else {
                    end(
                            tracked,
                            i,
                            tracked.streamingAttempt == i
                                    ? random.nextInt(8) == 0 ? AttemptOutcome.RESET : AttemptOutcome.OK
                                    : AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)]);
                }
                return;
            }
        }

        private void end(TrackedRequest tracked, int i, AttemptOutcome outcome) {
            AttemptOutcome reported =
                    tracked.finished && outcome == AttemptOutcome.OK ? AttemptOutcome.CANCELLED : outcome;
            tracked.ended.set(i, reported);
            boolean isSettled = reported == AttemptOutcome.OK || tracked.streamingAttempt == i;
            tracked.finished |= isSettled;
            if (isSettled) {
                tracked.streamingAttempt = -1;
            }
            policy.onAttemptEnded(
                    now, tracked.request.id(), i, reported, now - tracked.sentAt.get(i), tracked.finished, 0, null);
        }
    }

    @Test
    void rulesHoldUnderManySettings() {
        int sends = 0;
        int finalAnswers = 0;
        for (long seed = 1; seed <= 150; seed++) {
            CheckingHost host = new CheckingHost(seed);
            for (int i = 0; i < 1500; i++) {
                host.step();
            }
            host.sendsToStartedReplicas.forEach((replicaStart, n) ->
                    assertTrue(n <= 12, replicaStart + " got " + n + " attempts in its first window"));
            sends += host.sends;
            finalAnswers += host.finalAnswers;
        }
        assertTrue(sends > 30_000 && finalAnswers > 10_000, sends + " sends, " + finalAnswers + " rejected or failed");
    }

    @Test
    void sameEventsLeadToSameActions() {
        CheckingHost a = new CheckingHost(77);
        CheckingHost b = new CheckingHost(77);
        for (int i = 0; i < 3000; i++) {
            a.step();
            b.step();
        }
        assertEquals(a.sends, b.sends);
        a.trackedRequests.forEach((id, tracked) -> assertEquals(tracked.replicas, b.trackedRequests.get(id).replicas));
    }
}
