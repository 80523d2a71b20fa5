package magpiehub;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.Mailbox;
import magpiehub.concurrent.MonotonicClock;

/** The router's main class with an injected spin wait, to show that {@link SpinWaitDetector} detects one. */
public final class SpinWaitMain {
    private static final long WAITER_START_MICROS = 3_000_000;
    private static final long RELEASER_START_MICROS = 3_500_000;

    private SpinWaitMain() {}

    public static void main(String[] args) throws IOException {
        AtomicBoolean released = new AtomicBoolean();
        startLater(WAITER_START_MICROS, "spin-waiter", () -> {
            while (!released.get()) {
                Thread.onSpinWait();
            }
        });
        startLater(RELEASER_START_MICROS, "spin-releaser", () -> released.set(true));
        Main.main(args);
    }

    private static void startLater(long delayMicros, String threadName, Runnable action) {
        DaemonThreads.newThread(threadName, () -> {
                    try {
                        new Mailbox<>(MonotonicClock.SYSTEM, 1).take(MonotonicClock.SYSTEM.micros() + delayMicros);
                        action.run();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                })
                .start();
    }
}
