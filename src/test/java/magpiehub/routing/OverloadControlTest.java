package magpiehub.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests load shedding in random deployments: no router rejects everything, and rejections are spread evenly. */
class OverloadControlTest {
    private static final long SECOND = RoutingPolicyFixture.SECOND;
    private static final long WINDOW = 4 * SECOND;
    private static final int MIN_REJECTIONS = 15;

    /** Creates a router with one to four classes of random value after a long overload of all of them. */
    private static RoutingPolicyFixture overloaded(SplittableRandom random) {
        RequestClass[] classes = new RequestClass[1 + random.nextInt(4)];
        for (int i = 0; i < classes.length; i++) {
            classes[i] = new RequestClass(
                    "c" + i,
                    Idempotency.IDEMPOTENT,
                    DeduplicationScope.ALL,
                    0,
                    true,
                    SECOND,
                    0,
                    0,
                    4 * SECOND,
                    60_000,
                    1 + random.nextInt(9),
                    random.nextDouble());
        }
        RoutingPolicyFixture router =
                new RoutingPolicyFixture(RoutingPolicyFixture.settings(1 + random.nextInt(20), classes));
        String[] names = new String[4 + random.nextInt(12)];
        for (int i = 0; i < names.length; i++) {
            names[i] = "10.0.0." + i + ":" + (9000 + random.nextInt(1000));
        }
        router.list(names);
        for (int i = 0; i < 600; i++) {
            String id = router.submit(random.nextInt(classes.length), 0, 0, random.nextLong(1, 1L << 53));
            if (router.finalAnswers.get(id) == null) {
                router.startStream(id, 3 * SECOND + random.nextLong(SECOND / 2));
                router.endAttempt(id, AttemptOutcome.OK);
            }
            router.advance(50_000);
        }
        return router;
    }

    /**
     * After the overload, with little traffic of a single class, some requests are admitted: no router rejects all of
     * fifteen requests within 4 s, and nothing is rejected after 10 s.
     */
    @Test
    void routerWithLittleTrafficStopsShedding() {
        int routersRejectingAll = 0;
        int routers = 60;
        for (int seed = 1; seed <= routers; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            RoutingPolicyFixture router = overloaded(random);
            int classIndex = random.nextInt(router.settings.classes().size());
            ArrayDeque<Long> rejectedInARow = new ArrayDeque<>();
            boolean all = false;
            long from = router.now;
            int rejectedLate = 0;
            while (router.now < from + 20 * SECOND) {
                String id = router.submit(classIndex, 0, 0, random.nextLong(1, 1L << 53));
                if (router.finalAnswers.get(id) == null) {
                    rejectedInARow.clear();
                    router.startStream(id, 50_000);
                    router.endAttempt(id, AttemptOutcome.OK);
                } else {
                    rejectedInARow.addLast(router.now);
                    rejectedLate += router.now >= from + 10 * SECOND ? 1 : 0;
                }
                all |= rejectedInARow.size() >= MIN_REJECTIONS
                        && router.now - rejectedInARow.getFirst() >= WINDOW - WINDOW / MIN_REJECTIONS;
                router.advance(WINDOW / MIN_REJECTIONS);
            }
            routersRejectingAll += all ? 1 : 0;
            assertEquals(0, rejectedLate, "seed " + seed + ": rejected 10 s after the overload");
        }
        assertEquals(0, routersRejectingAll, "routers of " + routers + " that rejected all requests");
    }

    /**
     * Under overload, rejections of a class are independent of the conversation: the number of conversations of which
     * all turns are rejected does not exceed the expected one by more than a margin.
     */
    @Test
    void rejectionsAreSpreadOverConversations() {
        for (int seed = 1; seed <= 40; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            RoutingPolicyFixture router = overloaded(random);
            int classIndex = random.nextInt(router.settings.classes().size());
            int conversations = 40;
            int turns = 5;
            long[] sessions = random.longs(conversations, 1, 1L << 53).toArray();
            int[] rejectedTurns = new int[conversations];
            int all = 0;
            List<String> open = new ArrayList<>();
            for (int i = 0; i < turns * conversations; i++) {
                int k = i % conversations;
                String id = router.submit(classIndex, 0, 0, sessions[k]);
                if (router.finalAnswers.get(id) == null) {
                    open.add(id);
                } else {
                    rejectedTurns[k]++;
                    all++;
                }
                if (open.size() > 4) {
                    String done = open.remove(0);
                    router.startStream(done, 3 * SECOND);
                    router.endAttempt(done, AttemptOutcome.OK);
                }
                router.advance(100_000);
            }
            double part = (double) all / (turns * conversations);
            int throughout = 0;
            for (int r : rejectedTurns) {
                throughout += r == turns ? 1 : 0;
            }
            double chance = Math.pow(part, turns);
            assertTrue(
                    throughout <= conversations * (chance + 0.12),
                    "seed " + seed + ": " + throughout + " of " + conversations + " conversations, " + part
                            + " of all turns");
        }
    }
}
