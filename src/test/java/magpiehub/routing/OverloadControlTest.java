package magpiehub.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Load shedding over drawn deployments: no router rejects everything, and no conversation is singled out. */
class OverloadControlTest {
    private static final long SECOND = RoutingPolicyFixture.SECOND;
    private static final long WINDOW = 4 * SECOND;
    private static final int ENOUGH = 15;

    /** A router with one to four classes of drawn value, after a long overload on all of them. */
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

    /** Once little comes, and of one class only, some of it is admitted: no router rejects
     *  all of fifteen requests within 4 s, and after 10 s nothing is rejected any more. */
    @Test
    void aRouterWithLittleTrafficLeavesOverloadControl() {
        int turnedAllAway = 0;
        int routers = 60;
        for (int seed = 1; seed <= routers; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            RoutingPolicyFixture router = overloaded(random);
            int classIndex = random.nextInt(router.settings.classes().size());
            ArrayDeque<Long> refusedInARow = new ArrayDeque<>();
            boolean all = false;
            long from = router.now;
            int late = 0;
            while (router.now < from + 20 * SECOND) {
                String id = router.submit(classIndex, 0, 0, random.nextLong(1, 1L << 53));
                if (router.finalAnswers.get(id) == null) {
                    refusedInARow.clear();
                    router.startStream(id, 50_000);
                    router.endAttempt(id, AttemptOutcome.OK);
                } else {
                    refusedInARow.addLast(router.now);
                    late += router.now >= from + 10 * SECOND ? 1 : 0;
                }
                all |= refusedInARow.size() >= ENOUGH
                        && router.now - refusedInARow.getFirst() >= WINDOW - WINDOW / ENOUGH;
                router.advance(WINDOW / ENOUGH);
            }
            turnedAllAway += all ? 1 : 0;
            assertEquals(0, late, "seed " + seed + ": refused 10 s after the overload");
        }
        assertEquals(0, turnedAllAway, "routers of " + routers + " that turned all away");
    }

    /** Under overload the refusals of one class fall on conversations as chance has it: those of which all
     *  turns are refused are no more than chance gives, and a little. */
    @Test
    void noSetOfConversationsIsRefusedThroughout() {
        for (int seed = 1; seed <= 40; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            RoutingPolicyFixture router = overloaded(random);
            int classIndex = random.nextInt(router.settings.classes().size());
            int conversations = 40;
            int turns = 5;
            long[] sessions = random.longs(conversations, 1, 1L << 53).toArray();
            int[] refused = new int[conversations];
            int all = 0;
            List<String> open = new ArrayList<>();
            for (int i = 0; i < turns * conversations; i++) {
                int k = i % conversations;
                String id = router.submit(classIndex, 0, 0, sessions[k]);
                if (router.finalAnswers.get(id) == null) {
                    open.add(id);
                } else {
                    refused[k]++;
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
            for (int r : refused) {
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
