package magpiehub.concurrent;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that short turns use only the core threads and that threads are added when turns block. */
@Timeout(60)
class ActorThreadPoolTest {
    private static final int CORE_THREADS = 4;
    private static final int BLOCKING_TURNS = 48;
    /** As long as the connections' monitor waits between two checks. */
    private static final long CHECK_PERIOD_MS = 50;
    /** An event may be held back for 0.3 s. */
    private static final int MAX_CHECKS = 6;

    private final ActorThreadPool pool = new ActorThreadPool(ThreadBudget.unlimited());
    private final CountDownLatch release = new CountDownLatch(1);

    private void awaitRelease() {
        try {
            release.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Occupies all core threads with {@code turn}; returns once the turns have started. */
    private void occupyCoreThreads(Runnable turn) throws InterruptedException {
        CountDownLatch started = new CountDownLatch(CORE_THREADS);
        for (int i = 0; i < CORE_THREADS; i++) {
            pool.execute(() -> {
                started.countDown();
                turn.run();
            });
        }
        assertTrue(started.await(30, TimeUnit.SECONDS));
    }

    @Test
    void sequentialTurnsUseOnlyCoreThreads() throws InterruptedException {
        Set<Thread> threads = ConcurrentHashMap.newKeySet();
        for (int i = 0; i < 1000; i++) {
            CountDownLatch done = new CountDownLatch(1);
            pool.execute(() -> {
                threads.add(Thread.currentThread());
                done.countDown();
            });
            assertTrue(done.await(30, TimeUnit.SECONDS));
        }
        assertTrue(threads.size() <= CORE_THREADS, threads.size() + " threads");
    }

    @Test
    void submittingATurnAddsAThreadIfThePoolIsStalled() throws InterruptedException {
        occupyCoreThreads(this::awaitRelease);
        CountDownLatch done = new CountDownLatch(1);
        Thread.sleep(100);
        pool.execute(done::countDown);
        assertTrue(done.await(30, TimeUnit.SECONDS), "a thread is added after a stall of 100 ms");
        release.countDown();
    }

    @Test
    void aStallIsDetectedWithoutFurtherSubmissions() throws InterruptedException {
        occupyCoreThreads(this::awaitRelease);
        CountDownLatch done = new CountDownLatch(2);
        pool.execute(done::countDown);
        pool.execute(done::countDown);
        while (!done.await(1, TimeUnit.MILLISECONDS)) {
            pool.checkForStall();
        }
        release.countDown();
    }

    /** Guards against turns that wait while writes to many peers block at the same time. */
    @Test
    void manyTurnsThatBlockAtOnceDelayOthersForAFewChecksOnly() throws InterruptedException {
        for (int i = 0; i < BLOCKING_TURNS; i++) {
            pool.execute(() -> {
                ActorThreadPool.enterBlockingCall();
                awaitRelease();
                ActorThreadPool.exitBlockingCall();
            });
        }
        CountDownLatch done = new CountDownLatch(1);
        pool.execute(done::countDown);
        int checks = 0;
        while (!done.await(CHECK_PERIOD_MS, TimeUnit.MILLISECONDS)) {
            pool.checkForStall();
            checks++;
        }
        release.countDown();
        assertTrue(checks <= MAX_CHECKS, checks + " checks");
    }

    /** The pool is not stalled, as one thread has just started a turn; a thread is added because the others block. */
    @Test
    void blockedThreadsDoNotCountTowardsTheCoreSize() throws InterruptedException {
        occupyCoreThreads(() -> {
            ActorThreadPool.enterBlockingCall();
            awaitRelease();
            ActorThreadPool.exitBlockingCall();
        });
        Thread.sleep(100);
        CountDownLatch busy = new CountDownLatch(1);
        pool.execute(() -> {
            busy.countDown();
            awaitRelease();
        });
        assertTrue(busy.await(30, TimeUnit.SECONDS));
        CountDownLatch done = new CountDownLatch(1);
        pool.execute(done::countDown);
        assertTrue(done.await(30, TimeUnit.SECONDS), "the turn must not wait for the busy thread");
        release.countDown();
    }
}
