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

/** A timed wait on a mailbox does not spin, at whatever point the posting thread is suspended. */
class MailboxTimedWaitTest {
    private static final int TAKES = 4_000;

    /** Two threads on one core: the taker has priority, and preempts the poster at arbitrary points. */
    public static final class MailboxProcess {
        private MailboxProcess() {}

        public static void main(String[] args) throws IOException {
            Mailbox<Object> mailbox = new Mailbox<>(MonotonicClock.SYSTEM, 1);
            DaemonThreads.newThread("taker", () -> {
                        try {
                            for (int i = 0; i < TAKES; i++) {
                                mailbox.take(MonotonicClock.SYSTEM.micros() + 30 + i % 90);
                                while (mailbox.poll() != null) {
                                    // Empties the mailbox.
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
                mailbox.post(args);
            }
        }
    }

    /**
     * A mailbox built on a {@link java.util.concurrent.locks.Condition} made the taker spin after 124 waits.
     */
    @Test
    void timedWaitDoesNotSpinWhileThePosterIsSuspended() throws Exception {
        Assumptions.assumeTrue(FifoScheduling.isAllowed(), "the first-in-first-out class");
        String core = Integer.toString(Runtime.getRuntime().availableProcessors() - 1);
        Process process = new ProcessBuilder(
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
                        MailboxProcess.class.getName())
                .redirectErrorStream(true)
                .start();
        try (BufferedReader out = process.inputReader()) {
            assertEquals("begun", out.readLine());
            long taker = sampleTaker(process.pid()).id();
            assertEquals(
                    0,
                    new ProcessBuilder("chrt", "-f", "-p", "2", Long.toString(taker))
                            .start()
                            .waitFor());
            process.getOutputStream().write('\n');
            process.getOutputStream().flush();
            CpuRunTracker runs = new CpuRunTracker();
            while (process.isAlive()) {
                ThreadSample sample = sampleTaker(process.pid());
                if (sample != null) {
                    assertEquals(-1, runs.record(sample), "ms of CPU without a wait");
                }
            }
            assertEquals(0, process.exitValue());
        } finally {
            process.destroyForcibly().waitFor();
        }
    }

    private static ThreadSample sampleTaker(long pid) {
        try {
            List<ThreadSample> all = ThreadSample.ofProcess(pid);
            return all.stream()
                    .filter(t -> t.name().equals("taker"))
                    .findFirst()
                    .orElse(null);
        } catch (IOException e) {
            return null; // The process has ended.
        }
    }
}
