package magpiehub.concurrent;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

class ThreadBudgetTest {
    private static final long HEAP_BYTES = 64L << 20;

    @Test
    void theMemoryBesidesTheHeapLimitsTheThreads() {
        ThreadBudget budget = ThreadBudget.forMemory(192, HEAP_BYTES);
        assertFalse(budget.isExhausted(600));
        assertTrue(budget.isExhausted(700));
    }

    @Test
    void someThreadsAreAllowedInAnyCase() {
        assertFalse(ThreadBudget.forMemory(32, HEAP_BYTES).isExhausted(511));
        assertTrue(ThreadBudget.forMemory(32, HEAP_BYTES).isExhausted(512));
    }

    @Test
    void aPoolsThreadsCountFromTheirStartToTheirEnd() throws InterruptedException {
        ThreadBudget budget = ThreadBudget.forMemory(32, HEAP_BYTES);
        CachedThreadPool pool = new CachedThreadPool("t", 0, budget);
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch running = new CountDownLatch(1);
        pool.execute(() -> {
            running.countDown();
            try {
                release.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        running.await();
        assertTrue(budget.isExhausted(511));
        release.countDown();
        while (budget.isExhausted(511)) {
            Thread.sleep(1);
        }
    }
}
