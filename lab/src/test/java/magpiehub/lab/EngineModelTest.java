package magpiehub.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the model of one engine without sockets. */
class EngineModelTest {
    private static final EngineModel.Parameters PARAMETERS =
            new EngineModel.Parameters(2, 3, 20, 100, 64, 4, 128, 1_000, 0.5, 1_000, 4);
    private static final String TEXT = "abcd".repeat(64);
    private final List<String> events = new ArrayList<>();

    private EngineModel.Sequence sequence(String name, String text, int out) {
        return new EngineModel.Sequence(
                text,
                out,
                (from, to, last, cached) ->
                        events.add(name + " " + from + "-" + to + (last ? " last" : "") + " cached " + cached));
    }

    /** Runs steps until the engine is idle; returns their total duration (us). */
    private static long run(EngineModel engine, long now) {
        long total = 0;
        for (long t = engine.startStep(now); t > 0; t = engine.startStep(now + total)) {
            total += t;
            engine.finishStep();
        }
        return total;
    }

    @Test
    void streamIsInOrderAndEndsOnce() {
        EngineModel engine = new EngineModel(PARAMETERS, Long.MIN_VALUE / 2);
        assertTrue(engine.enqueue(sequence("a", "", 9), 0));
        run(engine, 0);
        assertEquals(List.of("a 0-1 cached 0", "a 1-5 cached 0", "a 5-9 last cached 0"), events);
    }

    @Test
    void promptIsCachedByBlocksAndLeastRecentlyUsedIsEvicted() {
        EngineModel engine = new EngineModel(PARAMETERS, Long.MIN_VALUE / 2);
        engine.enqueue(sequence("a", TEXT, 1), 0);
        long cold = run(engine, 0);
        engine.enqueue(sequence("b", TEXT + "another end of the same beginning", 1), 0);
        long warm = run(engine, 0);
        assertTrue(warm < cold, "a cached prompt is not prefilled again: " + warm);
        assertEquals("b 0-1 last cached 64", events.get(1));
        engine.enqueue(sequence("c", "wxyz".repeat(128), 1), 0);
        run(engine, 0);
        engine.enqueue(sequence("d", TEXT, 1), 0);
        run(engine, 0);
        assertEquals("d 0-1 last cached 0", events.get(3), "the cache holds 128 tokens");
    }

    @Test
    void fullQueueRejectsAndCancelledSequenceFreesItsSlot() {
        EngineModel engine = new EngineModel(PARAMETERS, Long.MIN_VALUE / 2);
        EngineModel.Sequence first = sequence("0", "", 99);
        assertTrue(engine.enqueue(first, 0));
        assertTrue(engine.enqueue(sequence("1", "", 99), 0));
        assertTrue(engine.enqueue(sequence("2", "", 99), 0));
        assertFalse(engine.enqueue(sequence("3", "", 99), 0), "three sequences are waiting");
        engine.startStep(0);
        assertEquals(2, engine.running());
        assertEquals(1, engine.waiting());
        engine.cancel(first);
        engine.startStep(0);
        assertEquals(2, engine.running());
        assertEquals(0, engine.waiting());
    }

    @Test
    void coldEngineIsSlowerAndCrashesUnderLoadThatAWarmOneRejects() {
        EngineModel cold = new EngineModel(PARAMETERS, 0);
        assertEquals(0.5, cold.speed(0));
        assertEquals(1, cold.speed(1_000_000));
        EngineModel warm = new EngineModel(PARAMETERS, Long.MIN_VALUE / 2);
        for (int i = 0; i < 30; i++) {
            cold.enqueue(sequence("x", TEXT, 10), i * 1_000L);
            warm.enqueue(sequence("x", TEXT, 10), i * 1_000L);
        }
        assertTrue(cold.hasCrashed(), "30 times 0.106 s of work within 30 ms, 4 x 0.5 s may come");
        assertFalse(warm.hasCrashed());
        EngineModel underLowLoad = new EngineModel(PARAMETERS, 0);
        for (int i = 0; i < 15; i++) {
            underLowLoad.enqueue(sequence("x", TEXT, 10), i * 1_000L);
        }
        assertFalse(underLowLoad.hasCrashed());
    }
}
