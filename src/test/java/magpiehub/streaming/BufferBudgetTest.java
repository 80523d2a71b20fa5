package magpiehub.streaming;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the admission of streams, the selection of the victim, and the byte counts of the buffer budget. */
class BufferBudgetTest {
    private static final long SECOND_MICROS = 1_000_000;

    @Test
    void theVictimIsTheStreamThatLagsMostAndNeverOneThatIsNotLagging() {
        BufferBudget<Object> budget = new BufferBudget<>(1 << 20);
        StreamBuffer<Object> stalled = budget.open("stalled", 1 << 20, 0);
        StreamBuffer<Object> slow = budget.open("slow", 1 << 20, 0);
        StreamBuffer<Object> prompt = budget.open("prompt", 1 << 20, 0);
        budget.receive(stalled, 500_000, 0);
        budget.receive(slow, 540_000, 3 * SECOND_MICROS);
        assertNull(budget.selectVictim(3 * SECOND_MICROS), "the budget is not exhausted");
        budget.receive(prompt, 20_000, 4 * SECOND_MICROS);
        assertSame(stalled, budget.selectVictim(4 * SECOND_MICROS));
        budget.close(stalled);
        assertNull(budget.selectVictim(4 * SECOND_MICROS));
        budget.close(slow);
        assertTrue(budget.hasCapacity(prompt));
        // The budget is exhausted and no stream is lagging: the upstreams wait, and no stream is ended.
        List<StreamBuffer<Object>> notLagging = new ArrayList<>();
        for (int i = 0; budget.bufferedBytes() < budget.totalBytes(); i++) {
            notLagging.add(budget.open(i, 1 << 20, 5 * SECOND_MICROS));
            budget.receive(notLagging.get(i), 40_000, 5 * SECOND_MICROS);
        }
        assertNull(budget.selectVictim(60 * SECOND_MICROS));
        assertFalse(budget.hasCapacity(notLagging.get(0)));
    }

    @Test
    void newStreamsAreRejectedBeforeTheBudgetIsExceeded() {
        BufferBudget<Object> budget = new BufferBudget<>(10 * BufferBudget.LAG_THRESHOLD_BYTES);
        int streams = 0;
        for (; budget.hasCapacityForStream(0); streams++) {
            budget.open(streams, 1 << 20, 0);
        }
        assertEquals(10 * BufferBudget.LAG_THRESHOLD_BYTES / BufferBudget.RESERVED_BYTES, streams);
        BufferBudget<Object> other = new BufferBudget<>(10 * BufferBudget.LAG_THRESHOLD_BYTES);
        other.receive(other.open("large", 1 << 20, 0), 10 * BufferBudget.LAG_THRESHOLD_BYTES - 1, 0);
        assertFalse(other.hasCapacityForStream(0), "all bytes of a stream that is not lagging count");
        assertTrue(other.hasCapacityForStream(SECOND_MICROS), "a lagging stream does not count, since it can be ended");
    }

    @Test
    void everyByteIsCountedExactlyOnce() {
        SplittableRandom random = new SplittableRandom(8);
        BufferBudget<Object> budget = new BufferBudget<>(4 << 20);
        List<StreamBuffer<Object>> open = new ArrayList<>();
        for (int i = 0; i < 200_000; i++) {
            long now = i * 100L;
            if (open.isEmpty() || (random.nextInt(50) == 0 && budget.hasCapacityForStream(now))) {
                open.add(budget.open(i, 256 << 10, now));
            }
            StreamBuffer<Object> buffer = open.get(random.nextInt(open.size()));
            switch (random.nextInt(8)) {
                case 0, 1, 2 -> {
                    if (budget.hasCapacity(buffer)) {
                        budget.receive(buffer, 1 + random.nextInt(30_000), now);
                    }
                }
                case 3, 4, 5 -> budget.deliver(
                        buffer, buffer.bufferedBytes() == 0 ? 0 : random.nextLong(buffer.bufferedBytes() + 1), now);
                case 6 -> budget.discard(
                        buffer, buffer.bufferedBytes() == 0 ? 0 : random.nextLong(buffer.bufferedBytes() + 1));
                default -> {
                    if (random.nextInt(20) == 0) {
                        budget.close(buffer);
                        open.remove(buffer);
                    }
                }
            }
            long sum =
                    open.stream().mapToLong(StreamBuffer<Object>::bufferedBytes).sum();
            assertEquals(sum, budget.bufferedBytes());
            assertTrue(
                    sum <= budget.totalBytes() + open.size() * (BufferBudget.MIN_SHARE_BYTES + 30_000L),
                    "budget exceeded by more than the minimum shares");
        }
        StreamBuffer<Object> buffer = budget.open("", 1, 0);
        assertThrows(IllegalStateException.class, () -> budget.deliver(buffer, 1, 0));
    }

    @Test
    void aClientIsStalledWhileItAcceptsNothingAlthoughBytesAreBuffered() {
        BufferBudget<Object> budget = new BufferBudget<>(1 << 20);
        StreamBuffer<Object> buffer = budget.open("", 1 << 20, 0);
        assertEquals(0, buffer.stalledMicros(100 * SECOND_MICROS), "nothing is buffered");
        budget.receive(buffer, 100, 100 * SECOND_MICROS);
        assertEquals(
                2 * SECOND_MICROS,
                buffer.stalledMicros(102 * SECOND_MICROS),
                "the time before bytes were buffered does not count");
        budget.deliver(buffer, 1, 103 * SECOND_MICROS);
        assertEquals(SECOND_MICROS, buffer.stalledMicros(104 * SECOND_MICROS));
        budget.deliver(buffer, 99, 105 * SECOND_MICROS);
        assertEquals(0, buffer.stalledMicros(200 * SECOND_MICROS));
    }
}
