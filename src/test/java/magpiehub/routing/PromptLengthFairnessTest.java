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
 * Requests with long prompts against the rest of their class, over drawn deployments in virtual time. A
 * replica reads one prompt after another, and a request is answered when its own has been read before its
 * deadline. Each request has one attempt.
 */
class PromptLengthFairnessTest {
    private static final long SECOND = 1_000_000;
    private static final long DEADLINE = 4 * SECOND;
    private static final long DAY = 60 * SECOND;
    private static final double TOKENS_PER_SECOND = 10_000;
    private static final double SHORTEST_PROMPT = 200;
    private static final double LONGEST_PROMPT = 8_000;
    private static final double MEAN_PROMPT =
            (LONGEST_PROMPT - SHORTEST_PROMPT) / Math.log(LONGEST_PROMPT / SHORTEST_PROMPT);
    private static final int DEPLOYMENTS = 20;
    /** Classes with fewer requests are judged by their longest quarter, others by their longest tenth. */
    private static final int MANY_REQUESTS = 400;

    /** One request and whether its first token came in time. */
    private static final class Asked {
        final RoutingRequest request;
        boolean answered;

        Asked(RoutingRequest request) {
            this.request = request;
        }
    }

    private record Due(long at, Runnable event) {}

    /** One router, its replicas and its clients. */
    private static final class Day extends QuietActions {
        final SplittableRandom random;
        final PriorityQueue<Due> events = new PriorityQueue<>(Comparator.comparingLong(Due::at));
        final Map<String, Long> freeAt = new HashMap<>();
        final Map<String, Asked> open = new HashMap<>();
        final List<Asked> all = new ArrayList<>();
        final RequestClass[] classes;
        final int replicas;
        final RoutingPolicy policy;
        long now = 100 * SECOND;

        Day(long seed) {
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

        /** Plays the day with traffic that takes a part of what the replicas can read. */
        void play(double load) {
            double mean = SECOND * MEAN_PROMPT / (load * replicas * TOKENS_PER_SECOND);
            long end = now + DAY;
            for (long at = now; at < end; at += (long) (-mean * Math.log(1 - random.nextDouble()))) {
                events.add(new Due(at, this::ask));
            }
            while (!events.isEmpty() && now < end + 2 * DEADLINE) {
                Due next = events.poll();
                now = Math.max(now, next.at);
                next.event.run();
            }
        }

        private void ask() {
            double tokens = SHORTEST_PROMPT * Math.pow(LONGEST_PROMPT / SHORTEST_PROMPT, random.nextDouble());
            String id = "r" + all.size();
            Asked asked = new Asked(new RoutingRequest(
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
            all.add(asked);
            open.put(id, asked);
            policy.onRequest(now, asked.request);
        }

        @Override
        public void sendAttempt(String id, String server, long timeout) {
            long sentAt = now;
            RoutingRequest r = open.get(id).request;
            long begins = Math.max(now, freeAt.getOrDefault(server, 0L));
            long read = begins + (long) (SECOND * r.promptTokens() / TOKENS_PER_SECOND);
            if (read < r.deadline()) {
                freeAt.put(server, read);
                events.add(new Due(read, () -> served(id, sentAt)));
            } else {
                // A replica drops what nobody waits for any more before it has read it.
                freeAt.put(server, Math.min(read, Math.max(begins, r.deadline())));
                events.add(new Due(r.deadline(), () -> outcome(id, AttemptOutcome.TIMEOUT, sentAt)));
            }
        }

        private void served(String id, long sentAt) {
            open.get(id).answered = true;
            policy.onStreamStarted(now, id, 0, now - sentAt);
            outcome(id, AttemptOutcome.OK, sentAt);
        }

        private void outcome(String id, AttemptOutcome outcome, long sentAt) {
            open.remove(id);
            policy.onAttemptEnded(now, id, 0, outcome, now - sentAt, true, -1, null);
        }

        @Override
        public void setTimer(long at, long token) {
            events.add(new Due(at, () -> policy.onTimer(now, token)));
        }

        /** The answered part of the longest prompts of a class over that of the whole class. */
        double longestAgainstAll(int cls) {
            List<Asked> ofClass = new ArrayList<>(all);
            ofClass.removeIf(a -> a.request.classIndex() != cls);
            ofClass.sort(Comparator.comparingDouble(a -> -a.request.promptTokens()));
            int longest = ofClass.size() / (ofClass.size() < MANY_REQUESTS ? 4 : 10);
            return answered(ofClass.subList(0, longest)) / answered(ofClass);
        }

        private static double answered(List<Asked> some) {
            return (double) some.stream().filter(a -> a.answered).count() / some.size();
        }
    }

    private static void longestPromptsGet(double least, double load) {
        for (int seed = 1; seed <= DEPLOYMENTS; seed++) {
            Day day = new Day(seed);
            day.play(load);
            for (int cls = 0; cls < day.classes.length; cls++) {
                double part = day.longestAgainstAll(cls);
                assertTrue(part >= least, "seed " + seed + ", class " + cls + ": " + part);
            }
        }
    }

    @Test
    void onAQuietDayTheLongestPromptsGetTwoThirdsOfTheirClassesShare() {
        longestPromptsGet(2.0 / 3, 0.45);
    }

    @Test
    void underOverloadTheLongestPromptsGetHalfOfTheirClassesShare() {
        longestPromptsGet(0.5, 1.2);
    }
}
