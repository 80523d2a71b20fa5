package magpiehub;

import java.io.IOException;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Sends a router its signals: reloads in series, SIGTERM more than once, and SIGKILL as early as the pages allow. */
final class SoakSignals {
    /** For so long after SIGTERM new connections come. */
    private static final long CONNECT_AFTER_TERM_NANOS = 300_000_000;
    /** After SIGTERM: the longest deadline, taken as 3 s where it is longer, and 0.7 s more. */
    private static final long KILL_AFTER_TERM_NANOS = 3_700_000_000L;

    private static final int MAX_RELOADS = 6;
    private static final int MAX_RELOAD_GAP_MS = 900;
    private static final int MAX_TERM_GAP_MS = 200;

    private final Process router;
    private final SplittableRandom random;
    private volatile long termNanos = Long.MAX_VALUE;
    private volatile boolean killed;

    SoakSignals(Process router, long seed) {
        this.router = router;
        this.random = new SplittableRandom(seed * 17);
    }

    /** Sends all signals; returns once the process has ended. */
    void run() throws IOException, InterruptedException {
        int reloads = 2 + random.nextInt(MAX_RELOADS - 1);
        for (int i = 0; i < reloads; i++) {
            TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_RELOAD_GAP_MS));
            send("HUP");
        }
        termNanos = System.nanoTime();
        send("TERM");
        for (int i = random.nextInt(3); i > 0; i--) {
            TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_TERM_GAP_MS));
            send(random.nextBoolean() ? "TERM" : "HUP");
        }
        router.waitFor(termNanos + KILL_AFTER_TERM_NANOS - System.nanoTime(), TimeUnit.NANOSECONDS);
        killed = true;
        router.destroyForcibly().waitFor();
    }

    private void send(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(router.pid()))
                .start()
                .waitFor();
    }

    boolean mayConnect() {
        return !killed && System.nanoTime() - CONNECT_AFTER_TERM_NANOS < termNanos;
    }

    boolean isKilled() {
        return killed;
    }

    /** When SIGTERM was sent first. */
    long termNanos() {
        return termNanos;
    }
}
