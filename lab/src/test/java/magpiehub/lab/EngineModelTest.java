package magpiehub.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The model of one engine, driven directly. */
class EngineModelTest {
    private static final EngineModel.Parameters B =
            new EngineModel.Parameters(2, 3, 20, 100, 64, 4, 128, 1_000, 0.5, 1_000, 4);
    private static final String TEXT = "abcd".repeat(64);
    private final List<String> told = new ArrayList<>();

    private EngineModel.Sequence sequence(String name, String text, int out) {
        return new EngineModel.Sequence(
                text,
                out,
                (from, to, last, cached) ->
                        told.add(name + " " + from + "-" + to + (last ? " last" : "") + " cached " + cached));
    }

    /** Steps until nothing is left; returns how long that took (us). */
    private static long run(EngineModel e, long now) {
        long all = 0;
        for (long t = e.startStep(now); t > 0; t = e.startStep(now + all)) {
            all += t;
            e.finishStep();
        }
        return all;
    }

    @Test
    void aStreamComesInOrderAndEndsOnce() {
        EngineModel e = new EngineModel(B, Long.MIN_VALUE / 2);
        assertTrue(e.enqueue(sequence("a", "", 9), 0));
        run(e, 0);
        assertEquals(List.of("a 0-1 cached 0", "a 1-5 cached 0", "a 5-9 last cached 0"), told);
    }

    @Test
    void aPromptThatWasReadIsKeptByItsBlocksAndTheOldestGoes() {
        EngineModel e = new EngineModel(B, Long.MIN_VALUE / 2);
        e.enqueue(sequence("a", TEXT, 1), 0);
        long cold = run(e, 0);
        e.enqueue(sequence("b", TEXT + "another end of the same beginning", 1), 0);
        long warm = run(e, 0);
        assertTrue(warm < cold, "a prompt that is kept is not read again: " + warm);
        assertEquals("b 0-1 last cached 64", told.get(1));
        e.enqueue(sequence("c", "wxyz".repeat(128), 1), 0);
        run(e, 0);
        e.enqueue(sequence("d", TEXT, 1), 0);
        run(e, 0);
        assertEquals("d 0-1 last cached 0", told.get(3), "there is room for 128 tokens");
    }

    @Test
    void aFullQueueTurnsAwayAndADroppedSequenceMakesRoom() {
        EngineModel e = new EngineModel(B, Long.MIN_VALUE / 2);
        EngineModel.Sequence first = sequence("0", "", 99);
        assertTrue(e.enqueue(first, 0));
        assertTrue(e.enqueue(sequence("1", "", 99), 0));
        assertTrue(e.enqueue(sequence("2", "", 99), 0));
        assertFalse(e.enqueue(sequence("3", "", 99), 0), "three wait");
        e.startStep(0);
        assertEquals(2, e.running());
        assertEquals(1, e.waiting());
        e.cancel(first);
        e.startStep(0);
        assertEquals(2, e.running());
        assertEquals(0, e.waiting());
    }

    @Test
    void aColdEngineIsSlowerAndFallsUnderWorkThatAWarmOneTurnsAway() {
        EngineModel cold = new EngineModel(B, 0);
        assertEquals(0.5, cold.speed(0));
        assertEquals(1, cold.speed(1_000_000));
        EngineModel warm = new EngineModel(B, Long.MIN_VALUE / 2);
        for (int i = 0; i < 30; i++) {
            cold.enqueue(sequence("x", TEXT, 10), i * 1_000L);
            warm.enqueue(sequence("x", TEXT, 10), i * 1_000L);
        }
        assertTrue(cold.hasCrashed(), "30 times 0.106 s of work within 30 ms, 4 x 0.5 s may come");
        assertFalse(warm.hasCrashed());
        EngineModel little = new EngineModel(B, 0);
        for (int i = 0; i < 15; i++) {
            little.enqueue(sequence("x", TEXT, 10), i * 1_000L);
        }
        assertFalse(little.hasCrashed());
    }
}
