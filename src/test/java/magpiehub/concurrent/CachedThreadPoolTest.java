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

/** Threads are reused, each for one piece of work at a time, and no work is lost between two of them. */
@Timeout(60)
class CachedThreadPoolTest {
    private static final long LONG_KEEP_ALIVE_MICROS = 30_000_000;

    /** Runs so many pieces of work one after another; returns the threads that ran them. */
    private static Set<Thread> oneByOne(CachedThreadPool pool, int pieces) throws InterruptedException {
        Set<Thread> threads = ConcurrentHashMap.newKeySet();
        for (int i = 0; i < pieces; i++) {
            CountDownLatch done = new CountDownLatch(1);
            pool.execute(() -> {
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
        assertTrue(oneByOne(new CachedThreadPool("t", LONG_KEEP_ALIVE_MICROS), 1000)
                        .size()
                < 100);
    }

    @Test
    void workThatBlocksHoldsUpNoOther() throws InterruptedException {
        CachedThreadPool pool = new CachedThreadPool("t", LONG_KEEP_ALIVE_MICROS);
        CountDownLatch all = new CountDownLatch(50);
        for (int i = 0; i < 50; i++) {
            pool.execute(() -> {
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

    /** Work that is submitted at the moment at which an idle thread ends is run, and once. */
    @Test
    void workThatCrossesTheEndOfAThreadIsDoneOnce() throws InterruptedException {
        CachedThreadPool pool = new CachedThreadPool("t", 0);
        AtomicInteger done = new AtomicInteger();
        CountDownLatch all = new CountDownLatch(20_000);
        for (int i = 0; i < 20_000; i++) {
            pool.execute(() -> {
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
