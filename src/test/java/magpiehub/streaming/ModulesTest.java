package magpiehub.streaming;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertSame;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import magpiehub.config.ConfigurationException;
import magpiehub.config.ConfigurationObject;
import magpiehub.routing.DeduplicationScope;
import magpiehub.routing.Idempotency;
import magpiehub.routing.RequestClass;
import magpiehub.streaming.StreamOutcomes.Ending;
import org.junit.Test;

/** The streams' modules, driven directly. */
public class ModulesTest {
    private static final long S = 1_000_000;
    private static final long MS = 1_000;

    // ---- Budget ---------------------------------------------------------------------------------------
    @Test
    public void theFurthestBehindForLongestGoesFirstAndNeverOneInStep() {
        BufferBudget b = new BufferBudget(1 << 20);
        BufferBudget.Account stuck = b.open("stuck", 1 << 20, 0);
        BufferBudget.Account slow = b.open("slow", 1 << 20, 0);
        BufferBudget.Account fine = b.open("fine", 1 << 20, 0);
        b.came(stuck, 500_000, 0);
        b.came(slow, 540_000, 3 * S);
        assertNull("nothing is short", b.victim(3 * S));
        b.came(fine, 20_000, 4 * S);
        assertSame(stuck, b.victim(4 * S));
        b.close(stuck);
        assertNull(b.victim(4 * S));
        b.close(slow);
        assertTrue(b.room(fine));
        // All short of bytes, all in step: their engines wait, nobody goes.
        List<BufferBudget.Account> many = new ArrayList<>();
        for (int i = 0; b.held() < b.total(); i++) {
            many.add(b.open(i, 1 << 20, 5 * S));
            b.came(many.get(i), 40_000, 5 * S);
        }
        assertNull(b.victim(60 * S));
        assertFalse(b.room(many.get(0)));
    }

    @Test
    public void newStreamsAreRefusedBeforeTheBudgetIsOverrun() {
        BufferBudget b = new BufferBudget(10 * BufferBudget.STEP);
        int n = 0;
        for (; b.admits(0); n++) {
            b.open(n, 1 << 20, 0);
        }
        assertEquals(10 * BufferBudget.STEP / BufferBudget.PLEDGE, n);
        BufferBudget c = new BufferBudget(10 * BufferBudget.STEP);
        c.came(c.open("large", 1 << 20, 0), 10 * BufferBudget.STEP - 1, 0);
        assertFalse("what one in step holds counts as it is", c.admits(0));
        assertTrue("for one that stays behind, room is made", c.admits(S));
    }

    @Test
    public void everyByteIsCountedOnce() {
        SplittableRandom r = new SplittableRandom(8);
        BufferBudget b = new BufferBudget(4 << 20);
        List<BufferBudget.Account> open = new ArrayList<>();
        for (int i = 0; i < 200_000; i++) {
            long now = i * 100L;
            if (open.isEmpty() || (r.nextInt(50) == 0 && b.admits(now))) {
                open.add(b.open(i, 256 << 10, now));
            }
            BufferBudget.Account a = open.get(r.nextInt(open.size()));
            switch (r.nextInt(8)) {
                case 0, 1, 2 -> {
                    if (b.room(a)) {
                        b.came(a, 1 + r.nextInt(30_000), now);
                    }
                }
                case 3, 4, 5 -> b.passed(a, a.held() == 0 ? 0 : r.nextLong(a.held() + 1), now);
                case 6 -> b.dropped(a, a.held() == 0 ? 0 : r.nextLong(a.held() + 1), now);
                default -> {
                    if (r.nextInt(20) == 0) {
                        b.close(a);
                        open.remove(a);
                    }
                }
            }
            long sum = open.stream().mapToLong(BufferBudget.Account::held).sum();
            assertEquals(sum, b.held());
            assertTrue("overrun", sum <= b.total() + open.size() * (BufferBudget.STEP / 4 + 30_000L));
        }
        BufferBudget.Account a = b.open("", 1, 0);
        assertThrows(IllegalStateException.class, () -> b.passed(a, 1, 0));
    }

    @Test
    public void aReaderIsStuckOnceNothingMovesThoughBytesWait() {
        BufferBudget b = new BufferBudget(1 << 20);
        BufferBudget.Account a = b.open("", 1 << 20, 0);
        assertEquals("nothing waits", 0, a.stuckFor(100 * S));
        b.came(a, 100, 100 * S);
        assertEquals("the time before bytes came is not the reader's", 2 * S, a.stuckFor(102 * S));
        b.passed(a, 1, 103 * S);
        assertEquals(S, a.stuckFor(104 * S));
        b.passed(a, 99, 105 * S);
        assertEquals(0, a.stuckFor(200 * S));
    }

    // ---- Pace -----------------------------------------------------------------------------------------
    private static final StallDetector.Options LEARNS = new StallDetector.Options(500 * MS, 10 * S, 8);

    private static long feed(StallDetector p, int engines, long from, int events, long gap, SplittableRandom r) {
        long now = from;
        for (int i = 0; i < events; i++) {
            for (int e = 0; e < engines; e++) {
                // A burst now and then: many events in one read.
                p.heard("e" + e, r.nextInt(10) == 0 ? 10 : gap * 3 / 4 + r.nextLong(gap / 2), now);
            }
            now += gap;
        }
        return now;
    }

    @Test
    public void oneSilentEngineIsAStallWithinASecondOrTwo() {
        StallDetector p = new StallDetector(LEARNS);
        assertEquals("nothing is known yet", 10 * S, p.limit("e0", 0));
        long now = feed(p, 8, 0, 300, 60 * MS, new SplittableRandom(1));
        long limit = p.limit("e0", now + S);
        assertTrue("" + limit, limit >= 500 * MS && limit <= 2 * S);
        StallDetector bursts = new StallDetector(LEARNS);
        feed(bursts, 1, 0, 300, 60 * MS, new SplittableRandom(2));
        for (int i = 0; i < 5000; i++) {
            bursts.heard("e0", 5, now);
        }
        assertEquals("bursts say nothing", 1, (double) bursts.limit("e0", now + S) / limit, 0.3);
    }

    @Test
    public void sharedSlownessIsNoStall() {
        StallDetector p = new StallDetector(LEARNS);
        SplittableRandom r = new SplittableRandom(3);
        long now = feed(p, 8, 0, 2000, 100 * MS, r);
        long before = p.limit("e0", now + 10 * S);
        now = feed(p, 8, now, 60, 290 * MS, r);
        assertTrue("" + p.shared(), p.shared() > 2);
        assertTrue(p.limit("e0", now + 10 * S) > 2 * before);
    }

    @Test
    public void aStreamWhoseEngineGoesOnWithOthersIsGivenLonger() {
        StallDetector p = new StallDetector(LEARNS);
        long now = feed(p, 2, 0, 300, 60 * MS, new SplittableRandom(4));
        p.begun("e0", now);
        p.begun("e0", now);
        long alone = p.limit("e0", now + 5 * S);
        p.heard("e0", 60 * MS, now + 5 * S);
        assertTrue(p.limit("e0", now + 5 * S) >= 2 * alone - 1);
        assertEquals(
                "off, the ceiling alone counts",
                S,
                new StallDetector(new StallDetector.Options(S, S, 8)).limit("e0", 0));
    }

    // ---- Ledger ---------------------------------------------------------------------------------------
    @Test
    public void eachStreamHasOneEnding() {
        StreamOutcomes l = new StreamOutcomes();
        l.begun();
        assertEquals(1, l.open());
        assertTrue(l.ended(null, Ending.WHOLE));
        assertFalse(l.ended(Ending.WHOLE, Ending.WHOLE));
        assertEquals("the same word from both sides is no fault", 0, l.twice());
        assertFalse(l.ended(Ending.WHOLE, Ending.READER_LEFT));
        assertEquals(1, l.twice());
        assertEquals(0, l.open());
        assertEquals(1, l.of(Ending.WHOLE));
        assertEquals(0, l.of(Ending.READER_LEFT));
    }

    // ---- The proof, at a small scale ------------------------------------------------------------------
    @Test
    public void theProofHoldsAtASmallScale() throws Exception {
        StringBuilder line = new StringBuilder();
        boolean holds = StreamsProof.run(3, 12, 26, line);
        assertTrue(line.toString(), holds);
    }

    // ---- Allowances -----------------------------------------------------------------------------------
    private static final List<RequestClass> CLASSES = List.of(cls("chat"), cls("bulk"));

    private static RequestClass cls(String name) {
        return new RequestClass(name, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, true, 0, 0, 0, 0, 0, 0, 0);
    }

    private static StreamLimits of(String json) throws Exception {
        return StreamLimits.of(ConfigurationObject.parse(json.getBytes(UTF_8), "streams.json"), CLASSES, 64 << 20);
    }

    private static String fault(String json) {
        return assertThrows(ConfigurationException.class, () -> of(json)).getMessage();
    }

    @Test
    public void allowancesNameTheFieldThatIsWrong() throws Exception {
        StreamLimits a = of("{\"pause_ms\":20000,\"classes\":{\"bulk\":{\"buffer_kb\":2048}}}");
        assertEquals(20 * S, a.classes().get(0).pause());
        assertEquals(512 << 10, a.classes().get(0).buffer());
        assertEquals(2 << 20, a.classes().get(1).buffer());
        assertEquals("as for all", 20 * S, a.classes().get(1).pause());
        assertEquals("an eighth of the heap", 8 << 20, a.budget());
        assertFalse(a.pace().learns());
        assertTrue(of("{\"silence_ms\":4000,\"stall_least_ms\":800}").pace().learns());
        StreamLimits example =
                StreamLimits.read(java.nio.file.Path.of("deploy/streams.example.json"), CLASSES, 64 << 20);
        assertTrue(example.pace().learns());
        assertTrue(fault("{\"pause\":1}").contains("pause is not a setting"));
        assertTrue(fault("{\"budget_kb\":60000}").contains("budget_kb must be a whole number"));
        assertTrue(fault("{\"classes\":{\"x\":{}}}").contains("classes.x is not a class"));
        assertTrue(fault("{\"classes\":{\"bulk\":{\"hold_ms\":1}}}").contains("classes.bulk.hold_ms"));
    }
}
