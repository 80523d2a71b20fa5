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

/** Tests the reuse and expiry of threads, and that no work is lost or run twice. */
@Timeout(60)
class CachedThreadPoolTest {
    private static final long LONG_KEEP_ALIVE_MICROS = 30_000_000;

    /** Runs {@code tasks} tasks sequentially; returns the threads that ran them. */
    private static Set<Thread> runSequentially(CachedThreadPool pool, int tasks) throws InterruptedException {
        Set<Thread> threads = ConcurrentHashMap.newKeySet();
        for (int i = 0; i < tasks; i++) {
            CountDownLatch done = new CountDownLatch(1);
            pool.execute(() -> {
                threads.add(Thread.currentThread());
                done.countDown();
            });
            assertTrue(done.await(30, TimeUnit.SECONDS), "task " + i + " was not run");
        }
        return threads;
    }

    @Test
    void anIdleThreadIsReused() throws InterruptedException {
        // A thread may not be idle again yet when the next task is submitted, so a few more threads are allowed.
        assertTrue(runSequentially(new CachedThreadPool("t", LONG_KEEP_ALIVE_MICROS, ThreadBudget.unlimited()), 1000)
                        .size()
                < 100);
    }

    @Test
    void blockingWorkDoesNotDelayOtherWork() throws InterruptedException {
        CachedThreadPool pool = new CachedThreadPool("t", LONG_KEEP_ALIVE_MICROS, ThreadBudget.unlimited());
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
    void anIdleThreadExitsAfterTheKeepAliveTime() throws InterruptedException {
        for (Thread t : runSequentially(new CachedThreadPool("t", 1000, ThreadBudget.unlimited()), 1)) {
            t.join(30_000);
            assertEquals(Thread.State.TERMINATED, t.getState());
        }
    }

    /** A race: work submitted while an idle thread times out must be run exactly once. */
    @Test
    void workSubmittedWhileAThreadExitsRunsExactlyOnce() throws InterruptedException {
        CachedThreadPool pool = new CachedThreadPool("t", 0, ThreadBudget.unlimited());
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
