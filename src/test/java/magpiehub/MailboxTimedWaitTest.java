package magpiehub;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.List;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.Mailbox;
import magpiehub.concurrent.MonotonicClock;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.Test;

/** A wait on a mailbox uses no CPU time, at whatever step the thread that posts is suspended. */
class MailboxTimedWaitTest {
    private static final int TAKES = 4_000;

    /** Two threads on one core: the taker has priority, and interrupts the poster at any step. */
    public static final class Hammer {
        private Hammer() {}

        public static void main(String[] args) throws IOException {
            Mailbox<Object> box = new Mailbox<>(MonotonicClock.SYSTEM, 1);
            DaemonThreads.newThread("taker", () -> {
                        try {
                            for (int i = 0; i < TAKES; i++) {
                                box.take(MonotonicClock.SYSTEM.micros() + 30 + i % 90);
                                while (box.poll() != null) {
                                    // Takes all there is.
                                }
                            }
                            System.exit(0);
                        } catch (InterruptedException e) {
                            System.exit(1);
                        }
                    })
                    .start();
            System.out.println("begun");
            System.in.read();
            while (true) {
                box.post(args);
            }
        }
    }

    /**
     * With a {@link java.util.concurrent.locks.Condition} in the mailbox, the taker was seen to spin after 124 waits.
     */
    @Test
    void aTimedWaitEndsWhileItsSignallerStandsStill() throws Exception {
        Assumptions.assumeTrue(FifoScheduling.isAllowed(), "the first-in-first-out class");
        String core = Integer.toString(Runtime.getRuntime().availableProcessors() - 1);
        Process p = new ProcessBuilder(
                        "taskset",
                        "-c",
                        core,
                        "chrt",
                        "-f",
                        "1",
                        ProcessHandle.current().info().command().orElse("java"),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Hammer.class.getName())
                .redirectErrorStream(true)
                .start();
        try (BufferedReader out = p.inputReader()) {
            assertEquals("begun", out.readLine());
            long taker = taker(p.pid()).id();
            assertEquals(
                    0,
                    new ProcessBuilder("chrt", "-f", "-p", "2", Long.toString(taker))
                            .start()
                            .waitFor());
            p.getOutputStream().write('\n');
            p.getOutputStream().flush();
            CpuRunTracker runs = new CpuRunTracker();
            while (p.isAlive()) {
                ThreadSample sample = taker(p.pid());
                if (sample != null) {
                    assertEquals(-1, runs.record(sample), "ms of CPU without a wait");
                }
            }
            assertEquals(0, p.exitValue());
        } finally {
            p.destroyForcibly().waitFor();
        }
    }

    private static ThreadSample taker(long pid) {
        try {
            List<ThreadSample> all = ThreadSample.ofProcess(pid);
            return all.stream()
                    .filter(t -> t.name().equals("taker"))
                    .findFirst()
                    .orElse(null);
        } catch (IOException e) {
            return null; // It has ended.
        }
    }
}
