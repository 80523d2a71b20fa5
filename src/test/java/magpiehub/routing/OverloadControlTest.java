package magpiehub.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Refusals over drawn deployments: no router turns away everything, and no conversation is singled out. */
class OverloadControlTest {
    private static final long S = RoutingPolicyFixture.SECOND;
    private static final long WINDOW = 4 * S;
    private static final int ENOUGH = 15;

    /** A node of a site with one to four classes of drawn worth, after a long overload on all of them. */
    private static RoutingPolicyFixture overloaded(SplittableRandom random) {
        RequestClass[] classes = new RequestClass[1 + random.nextInt(4)];
        for (int i = 0; i < classes.length; i++) {
            classes[i] = new RequestClass(
                    "c" + i,
                    Idempotency.IDEMPOTENT,
                    DeduplicationScope.ALL,
                    0,
                    true,
                    S,
                    0,
                    0,
                    4 * S,
                    60_000,
                    1 + random.nextInt(9),
                    random.nextDouble());
        }
        RoutingPolicyFixture b =
                new RoutingPolicyFixture(RoutingPolicyFixture.settings(1 + random.nextInt(20), classes));
        String[] names = new String[4 + random.nextInt(12)];
        for (int i = 0; i < names.length; i++) {
            names[i] = "10.0.0." + i + ":" + (9000 + random.nextInt(1000));
        }
        b.list(names);
        for (int i = 0; i < 600; i++) {
            String id = b.submit(random.nextInt(classes.length), 0, 0, random.nextLong(1, 1L << 53));
            if (b.finalAnswers.get(id) == null) {
                b.startStream(id, 3 * S + random.nextLong(S / 2));
                b.endAttempt(id, AttemptOutcome.OK);
            }
            b.advance(50_000);
        }
        return b;
    }

    /** Once little comes, and of one class only, control lets some of it through: no router turns away
     *  all of fifteen requests within 4 s, and after 10 s nothing is refused any more. */
    @Test
    void aRouterWithLittleTrafficLeavesOverloadControl() {
        int turnedAllAway = 0;
        int routers = 60;
        for (int seed = 1; seed <= routers; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            RoutingPolicyFixture b = overloaded(random);
            int cls = random.nextInt(b.settings.classes().size());
            ArrayDeque<Long> refusedInARow = new ArrayDeque<>();
            boolean all = false;
            long from = b.now;
            int late = 0;
            while (b.now < from + 20 * S) {
                String id = b.submit(cls, 0, 0, random.nextLong(1, 1L << 53));
                if (b.finalAnswers.get(id) == null) {
                    refusedInARow.clear();
                    b.startStream(id, 50_000);
                    b.endAttempt(id, AttemptOutcome.OK);
                } else {
                    refusedInARow.addLast(b.now);
                    late += b.now >= from + 10 * S ? 1 : 0;
                }
                all |= refusedInARow.size() >= ENOUGH && b.now - refusedInARow.getFirst() >= WINDOW - WINDOW / ENOUGH;
                b.advance(WINDOW / ENOUGH);
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
            RoutingPolicyFixture b = overloaded(random);
            int cls = random.nextInt(b.settings.classes().size());
            int conversations = 40;
            int turns = 5;
            long[] sessions = random.longs(conversations, 1, 1L << 53).toArray();
            int[] refused = new int[conversations];
            int all = 0;
            List<String> open = new ArrayList<>();
            for (int i = 0; i < turns * conversations; i++) {
                int k = i % conversations;
                String id = b.submit(cls, 0, 0, sessions[k]);
                if (b.finalAnswers.get(id) == null) {
                    open.add(id);
                } else {
                    refused[k]++;
                    all++;
                }
                if (open.size() > 4) {
                    String done = open.remove(0);
                    b.startStream(done, 3 * S);
                    b.endAttempt(done, AttemptOutcome.OK);
                }
                b.advance(100_000);
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
