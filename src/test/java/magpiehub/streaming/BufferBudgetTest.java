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

/** The buffer budget, driven directly. */
class BufferBudgetTest {
    private static final long SECOND = 1_000_000;

    @Test
    void theStreamThatLagsMostIsTheVictimAndNeverOneThatKeepsUp() {
        BufferBudget<Object> budget = new BufferBudget<>(1 << 20);
        StreamBuffer<Object> stuck = budget.open("stuck", 1 << 20, 0);
        StreamBuffer<Object> slow = budget.open("slow", 1 << 20, 0);
        StreamBuffer<Object> fine = budget.open("fine", 1 << 20, 0);
        budget.receive(stuck, 500_000, 0);
        budget.receive(slow, 540_000, 3 * SECOND);
        assertNull(budget.selectVictim(3 * SECOND), "nothing is short");
        budget.receive(fine, 20_000, 4 * SECOND);
        assertSame(stuck, budget.selectVictim(4 * SECOND));
        budget.close(stuck);
        assertNull(budget.selectVictim(4 * SECOND));
        budget.close(slow);
        assertTrue(budget.hasCapacity(fine));
        // The budget is spent and all keep up: their upstreams wait, none is ended.
        List<StreamBuffer<Object>> keepingUp = new ArrayList<>();
        for (int i = 0; budget.bufferedBytes() < budget.totalBytes(); i++) {
            keepingUp.add(budget.open(i, 1 << 20, 5 * SECOND));
            budget.receive(keepingUp.get(i), 40_000, 5 * SECOND);
        }
        assertNull(budget.selectVictim(60 * SECOND));
        assertFalse(budget.hasCapacity(keepingUp.get(0)));
    }

    @Test
    void newStreamsAreRejectedBeforeTheBudgetIsOverrun() {
        BufferBudget<Object> budget = new BufferBudget<>(10 * BufferBudget.KEEPING_UP_BYTES);
        int streams = 0;
        for (; budget.hasCapacityForStream(0); streams++) {
            budget.open(streams, 1 << 20, 0);
        }
        assertEquals(10 * BufferBudget.KEEPING_UP_BYTES / BufferBudget.RESERVED_BYTES, streams);
        BufferBudget<Object> other = new BufferBudget<>(10 * BufferBudget.KEEPING_UP_BYTES);
        other.receive(other.open("large", 1 << 20, 0), 10 * BufferBudget.KEEPING_UP_BYTES - 1, 0);
        assertFalse(other.hasCapacityForStream(0), "what one in step holds counts as it is");
        assertTrue(other.hasCapacityForStream(SECOND), "for one that stays behind, room is made");
    }

    @Test
    void everyByteIsCountedOnce() {
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
            assertTrue(sum <= budget.totalBytes() + open.size() * (BufferBudget.MIN_SHARE_BYTES + 30_000L), "overrun");
        }
        StreamBuffer<Object> buffer = budget.open("", 1, 0);
        assertThrows(IllegalStateException.class, () -> budget.deliver(buffer, 1, 0));
    }

    @Test
    void aClientIsStalledOnceItTakesNothingThoughBytesWait() {
        BufferBudget<Object> budget = new BufferBudget<>(1 << 20);
        StreamBuffer<Object> buffer = budget.open("", 1 << 20, 0);
        assertEquals(0, buffer.stalledMicros(100 * SECOND), "nothing waits");
        budget.receive(buffer, 100, 100 * SECOND);
        assertEquals(2 * SECOND, buffer.stalledMicros(102 * SECOND), "the time before bytes came is not the reader's");
        budget.deliver(buffer, 1, 103 * SECOND);
        assertEquals(SECOND, buffer.stalledMicros(104 * SECOND));
        budget.deliver(buffer, 99, 105 * SECOND);
        assertEquals(0, buffer.stalledMicros(200 * SECOND));
    }
}
