package magpiehub.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Compares requests with long prompts with the rest of their class, in random deployments in virtual time. A replica
 * processes one prompt after another, and a request is answered if its prompt has been processed before its deadline.
 * Each request has one attempt.
 */
class PromptLengthFairnessTest {
    private static final long SECOND = 1_000_000;
    private static final long DEADLINE = 4 * SECOND;
    private static final long DURATION = 60 * SECOND;
    private static final double TOKENS_PER_SECOND = 10_000;
    private static final double SHORTEST_PROMPT = 200;
    private static final double LONGEST_PROMPT = 8_000;
    private static final double MEAN_PROMPT =
            (LONGEST_PROMPT - SHORTEST_PROMPT) / Math.log(LONGEST_PROMPT / SHORTEST_PROMPT);
    private static final int DEPLOYMENTS = 20;
    /** In classes with fewer requests the longest quarter of the prompts is compared, otherwise the longest tenth. */
    private static final int LARGE_CLASS = 400;

    /** A request and whether its first token was in time. */
    private static final class TrackedRequest {
        final RoutingRequest request;
        boolean answered;

        TrackedRequest(RoutingRequest request) {
            this.request = request;
        }
    }

    private record ScheduledEvent(long at, Runnable event) {}

    /** A simulation of one router, its replicas and its clients. */
    private static final class Simulation extends QuietActions {
        final SplittableRandom random;
        final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>(Comparator.comparingLong(ScheduledEvent::at));
        final Map<String, Long> freeAt = new HashMap<>();
        final Map<String, TrackedRequest> open = new HashMap<>();
        final List<TrackedRequest> all = new ArrayList<>();
        final RequestClass[] classes;
        final int replicas;
        final RoutingPolicy policy;
        long now = 100 * SECOND;

        Simulation(long seed) {
            random = new SplittableRandom(seed);
            classes = new RequestClass[1 + random.nextInt(3)];
            for (int i = 0; i < classes.length; i++) {
                classes[i] = new RequestClass(
                        "c" + i,
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        true,
                        SECOND / 2 + random.nextLong(2 * SECOND),
                        30_000 + random.nextLong(30_000),
                        0,
                        DEADLINE,
                        60_000,
                        1 + random.nextInt(5),
                        random.nextBoolean() ? 0 : random.nextDouble());
            }
            replicas = 4 + random.nextInt(9);
            policy = new RoutingPolicy(RoutingPolicyFixture.settings(1, classes), seed, this, now);
            List<Endpoint> list = new ArrayList<>();
            for (int i = 0; i < replicas; i++) {
                list.add(RoutingPolicyFixture.endpoint("10.0.0." + i + ":" + random.nextInt(9000)));
            }
            policy.onEndpoints(now, EndpointListKind.COMPLETE, list);
        }

        /** Runs the simulation with traffic that needs the given fraction of the capacity of the replicas. */
        void run(double load) {
            double mean = SECOND * MEAN_PROMPT / (load * replicas * TOKENS_PER_SECOND);
            long end = now + DURATION;
            for (long at = now; at < end; at += (long) (-mean * Math.log(1 - random.nextDouble()))) {
                events.add(new ScheduledEvent(at, this::submit));
            }
            while (!events.isEmpty() && now < end + 2 * DEADLINE) {
                ScheduledEvent next = events.poll();
                now = Math.max(now, next.at);
                next.event.run();
            }
        }

        private void submit() {
            double tokens = SHORTEST_PROMPT * Math.pow(LONGEST_PROMPT / SHORTEST_PROMPT, random.nextDouble());
            String id = "r" + all.size();
            TrackedRequest tracked = new TrackedRequest(new RoutingRequest(
                    id,
                    random.nextInt(classes.length),
                    0,
                    random.nextLong(1, 1L << 53),
                    0,
                    now + DEADLINE,
                    0,
                    Math.floor(tokens),
                    0,
                    100,
                    false,
                    false,
                    false));
            all.add(tracked);
            open.put(id, tracked);
            policy.onRequest(now, tracked.request);
        }

        @Override
        public void sendAttempt(String id, String replica, long timeout, long writeDeadline) {
            long sentAt = now;
            RoutingRequest r = open.get(id).request;
            long startsAt = Math.max(now, freeAt.getOrDefault(replica, 0L));
            long finishesAt = startsAt + (long) (SECOND * r.promptTokens() / TOKENS_PER_SECOND);
            if (finishesAt < r.deadline()) {
                freeAt.put(replica, finishesAt);
                events.add(new ScheduledEvent(finishesAt, () -> finish(id, sentAt)));
            } else {
                // A replica drops a request whose deadline has passed before its prompt is processed.
                freeAt.put(replica, Math.min(finishesAt, Math.max(startsAt, r.deadline())));
                events.add(new ScheduledEvent(r.deadline(), () -> end(id, AttemptOutcome.TIMEOUT, sentAt)));
            }
        }

        private void finish(String id, long sentAt) {
            open.get(id).answered = true;
            policy.onStreamStarted(now, id, 0, now - sentAt);
            end(id, AttemptOutcome.OK, sentAt);
        }

        private void end(String id, AttemptOutcome outcome, long sentAt) {
            open.remove(id);
            policy.onAttemptEnded(now, id, 0, outcome, now - sentAt, true, -1, null);
        }

        @Override
        public void setTimer(long at, long token) {
            events.add(new ScheduledEvent(at, () -> policy.onTimer(now, token)));
        }

        /** Returns the answered fraction of the longest prompts of a class relative to that of the whole class. */
        double longestRelativeToAll(int classIndex) {
            List<TrackedRequest> ofClass = new ArrayList<>(all);
            ofClass.removeIf(r -> r.request.classIndex() != classIndex);
            ofClass.sort(Comparator.comparingDouble(r -> -r.request.promptTokens()));
            int longest = ofClass.size() / (ofClass.size() < LARGE_CLASS ? 4 : 10);
            return answered(ofClass.subList(0, longest)) / answered(ofClass);
        }

        private static double answered(List<TrackedRequest> requests) {
            return (double) requests.stream().filter(r -> r.answered).count() / requests.size();
        }
    }

    private static void assertLongestPromptsGet(double minRatio, double load) {
        for (int seed = 1; seed <= DEPLOYMENTS; seed++) {
            Simulation simulation = new Simulation(seed);
            simulation.run(load);
            for (int classIndex = 0; classIndex < simulation.classes.length; classIndex++) {
                double ratio = simulation.longestRelativeToAll(classIndex);
                assertTrue(ratio >= minRatio, "seed " + seed + ", class " + classIndex + ": " + ratio);
            }
        }
    }

    @Test
    void atLowLoadTheLongestPromptsGetTwoThirdsOfTheirClassesShare() {
        assertLongestPromptsGet(2.0 / 3, 0.45);
    }

    @Test
    void underOverloadTheLongestPromptsGetHalfOfTheirClassesShare() {
        assertLongestPromptsGet(0.5, 1.2);
    }
}
