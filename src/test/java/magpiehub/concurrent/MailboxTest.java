package magpiehub.concurrent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the order of messages, the capacity, closing, and an actor's turns on a thread pool. */
@Timeout(60)
class MailboxTest {
    private static final int CAPACITY = 10;

    private final Mailbox<String> mailbox = new Mailbox<>(MonotonicClock.SYSTEM, CAPACITY);

    /** Calls {@link Mailbox#postBlocking} on another thread; returns once that thread waits for capacity. */
    private CompletableFuture<Boolean> startBlockedPost(String message, int bytes) throws InterruptedException {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        Thread poster = DaemonThreads.newThread("poster", () -> {
            try {
                result.complete(mailbox.postBlocking(message, bytes));
            } catch (InterruptedException e) {
                result.completeExceptionally(e);
            }
        });
        poster.start();
        while (poster.getState() != Thread.State.WAITING) {
            assertFalse(result.isDone(), "posted without waiting for capacity");
            Thread.sleep(1);
        }
        return result;
    }

    @Test
    void messagesAreTakenInTheOrderInWhichTheyWerePosted() throws InterruptedException {
        mailbox.post("first");
        mailbox.post("second", CAPACITY);
        mailbox.post("third");
        assertEquals("first", mailbox.poll());
        assertEquals("second", mailbox.take(0));
        assertEquals("third", mailbox.poll());
        assertNull(mailbox.poll());
    }

    @Test
    void messagesBeyondTheCapacityAreRejectedUntilBytesAreTaken() {
        assertTrue(mailbox.post("six", 6));
        assertFalse(mailbox.post("five", 5));
        assertTrue(mailbox.post("four", 4));
        assertFalse(mailbox.post("one", 1));
        assertTrue(mailbox.post("without payload"));
        assertEquals("six", mailbox.poll());
        assertTrue(mailbox.post("six again", 6));
        assertFalse(mailbox.post("one", 1));
    }

    @Test
    void takeReturnsNullAtTheDeadline() throws InterruptedException {
        long until = MonotonicClock.SYSTEM.micros() + 20_000;
        assertNull(mailbox.take(until));
        assertTrue(MonotonicClock.SYSTEM.micros() >= until);
    }

    @Test
    void aClosedMailboxRejectsMessagesAndKeepsQueuedOnes() {
        mailbox.post("before");
        mailbox.close();
        assertFalse(mailbox.post("after"));
        assertEquals("before", mailbox.poll());
        assertNull(mailbox.poll());
    }

    @Test
    void postBlockingWaitsForCapacity() throws Exception {
        mailbox.post("full", CAPACITY);
        CompletableFuture<Boolean> posted = startBlockedPost("next", 1);
        assertEquals("full", mailbox.poll());
        assertTrue(posted.get(30, TimeUnit.SECONDS));
        assertEquals("next", mailbox.poll());
    }

    @Test
    void aMessageLargerThanTheMailboxIsPostedOnceItIsEmpty() throws Exception {
        mailbox.post("small", 1);
        CompletableFuture<Boolean> posted = startBlockedPost("large", CAPACITY + 1);
        assertEquals("small", mailbox.poll());
        assertTrue(posted.get(30, TimeUnit.SECONDS));
        assertFalse(mailbox.post("one", 1));
        assertEquals("large", mailbox.poll());
        assertTrue(mailbox.post("one", 1));
    }

    @Test
    void closingUnblocksPostBlocking() throws Exception {
        mailbox.post("full", CAPACITY);
        CompletableFuture<Boolean> posted = startBlockedPost("next", 1);
        mailbox.close();
        assertFalse(posted.get(30, TimeUnit.SECONDS));
    }

    /** Several threads post while turns run; every message must be handled, and no two turns may overlap. */
    @Test
    void turnsOnAThreadPoolNeverOverlapAndHandleAllMessages() throws InterruptedException {
        int posters = 4;
        int messagesEach = 20_000;
        CountDownLatch unhandled = new CountDownLatch(posters * messagesEach);
        AtomicInteger running = new AtomicInteger();
        AtomicInteger overlaps = new AtomicInteger();
        mailbox.attach(new ActorThreadPool(ThreadBudget.unlimited()), () -> {
            if (running.getAndIncrement() != 0) {
                overlaps.incrementAndGet();
            }
            while (mailbox.poll() != null) {
                unhandled.countDown();
            }
            running.decrementAndGet();
        });
        for (int i = 0; i < posters; i++) {
            DaemonThreads.newThread("poster", () -> {
                        for (int j = 0; j < messagesEach; j++) {
                            mailbox.post("message");
                        }
                    })
                    .start();
        }
        assertTrue(unhandled.await(30, TimeUnit.SECONDS), "messages not handled: " + unhandled.getCount());
        assertEquals(0, overlaps.get());
    }

    @Test
    void aTurnIsRepeatedUntilTheMailboxIsEmpty() throws InterruptedException {
        CountDownLatch unhandled = new CountDownLatch(3);
        mailbox.attach(new ActorThreadPool(ThreadBudget.unlimited()), () -> {
            mailbox.poll();
            unhandled.countDown();
        });
        mailbox.post("first");
        mailbox.post("second");
        mailbox.post("third");
        assertTrue(unhandled.await(30, TimeUnit.SECONDS), "messages not handled: " + unhandled.getCount());
    }
}
