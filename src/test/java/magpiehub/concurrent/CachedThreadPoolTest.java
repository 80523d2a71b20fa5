package magpiehub.concurrent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Threads that are used again, never twice at once, and never lost between two pieces of work. */
@Timeout(60)
class CachedThreadPoolTest {
    private static final long LONG_STAY = 30_000_000;

    /** Runs one piece after another; returns the threads that did it. */
    private static Set<Thread> oneByOne(CachedThreadPool cache, int pieces) throws InterruptedException {
        Set<Thread> threads = ConcurrentHashMap.newKeySet();
        for (int i = 0; i < pieces; i++) {
            CountDownLatch done = new CountDownLatch(1);
            cache.execute(() -> {
                threads.add(Thread.currentThread());
                done.countDown();
            });
            assertTrue(done.await(30, TimeUnit.SECONDS), "piece " + i + " was lost");
        }
        return threads;
    }

    @Test
    void aThreadThatHasFinishedTakesTheNextWork() throws InterruptedException {
        // A thread may still be on its way back to the idle ones when the next work comes.
        assertTrue(oneByOne(new CachedThreadPool("t", LONG_STAY), 1000).size() < 100);
    }

    @Test
    void workThatBlocksHoldsUpNoOther() throws InterruptedException {
        CachedThreadPool cache = new CachedThreadPool("t", LONG_STAY);
        CountDownLatch all = new CountDownLatch(50);
        for (int i = 0; i < 50; i++) {
            cache.execute(() -> {
                all.countDown();
                try {
                    all.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }
        assertTrue(all.await(30, TimeUnit.SECONDS));
    }

    @Test
    void aThreadEndsOnceNothingHasComeForAWhile() throws InterruptedException {
        for (Thread t : oneByOne(new CachedThreadPool("t", 1000), 1)) {
            t.join(30_000);
            assertEquals(Thread.State.TERMINATED, t.getState());
        }
    }

    /** Work that comes in the very moment in which the thread gives up waiting is done, once. */
    @Test
    void workThatCrossesTheEndOfAThreadIsDoneOnce() throws InterruptedException {
        CachedThreadPool cache = new CachedThreadPool("t", 0);
        AtomicInteger done = new AtomicInteger();
        CountDownLatch all = new CountDownLatch(20_000);
        for (int i = 0; i < 20_000; i++) {
            cache.execute(() -> {
                done.incrementAndGet();
                all.countDown();
            });
            if (i % 16 == 0) {
                Thread.sleep(0, 500_000);
            }
        }
        assertTrue(all.await(30, TimeUnit.SECONDS));
        assertEquals(20_000, done.get());
    }
}
