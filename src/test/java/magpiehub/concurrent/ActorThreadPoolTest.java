package magpiehub.concurrent;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Few threads for short turns, and more where turns block. */
@Timeout(60)
class ActorThreadPoolTest {
    private static final int CORE_THREADS = 4;

    private final ActorThreadPool pool = new ActorThreadPool();
    private final CountDownLatch release = new CountDownLatch(1);

    private void awaitRelease() {
        try {
            release.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Occupies all threads of the core; returns once their turns have begun. */
    private void blockCore(Runnable turn) throws InterruptedException {
        CountDownLatch begun = new CountDownLatch(CORE_THREADS);
        for (int i = 0; i < CORE_THREADS; i++) {
            pool.execute(() -> {
                begun.countDown();
                turn.run();
            });
        }
        assertTrue(begun.await(30, TimeUnit.SECONDS));
    }

    @Test
    void turnsOneAfterAnotherUseTheCoreThreadsAlone() throws InterruptedException {
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
    void aTurnWaitsWhileAllThreadsAreBusyUntilAStallIsFound() throws InterruptedException {
        blockCore(this::awaitRelease);
        CountDownLatch done = new CountDownLatch(1);
        Thread.sleep(100);
        pool.execute(done::countDown);
        assertTrue(done.await(30, TimeUnit.SECONDS), "a stall of 100 ms adds a thread");
        release.countDown();
    }

    @Test
    void aStallIsFoundWhileNobodyHandsInTurns() throws InterruptedException {
        blockCore(this::awaitRelease);
        CountDownLatch done = new CountDownLatch(2);
        pool.execute(done::countDown);
        pool.execute(done::countDown);
        while (!done.await(1, TimeUnit.MILLISECONDS)) {
            pool.checkForStall();
        }
        release.countDown();
    }

    /** A busy thread that took its turn just now is no stall; that the others wait for their peers adds a thread. */
    @Test
    void threadsInABlockingCallAreNotCountedAsCoreThreads() throws InterruptedException {
        blockCore(() -> {
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
        assertTrue(done.await(30, TimeUnit.SECONDS), "waits for the busy thread");
        release.countDown();
    }
}
