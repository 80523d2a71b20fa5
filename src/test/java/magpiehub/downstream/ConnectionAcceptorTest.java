package magpiehub.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.telemetry.SyslogEventLog;
import org.junit.jupiter.api.Test;

/** Accepting while the system call fails, for example because the machine has no free descriptor. */
class ConnectionAcceptorTest {
    private static final int FAILING_MS = 1_500;
    /** Once accepting has failed for a while, one call each 100 ms; a few shorter pauses before. */
    private static final int MAX_CALLS = 25;
    /** One line at the first failure, then one per second. */
    private static final int MAX_LINES = 3;

    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final SyslogEventLog eventLog =
            new SyslogEventLog(new PrintStream(logged, true, StandardCharsets.UTF_8), "test", 1);

    /** A socket whose accept call fails. */
    private static final class FailingSocket extends ListenerSocket {
        private final AtomicInteger calls = new AtomicInteger();
        private volatile boolean closed;

        @Override
        Socket accept() throws IOException {
            calls.incrementAndGet();
            throw new SocketException("Too many open files in system (Accept failed)");
        }

        @Override
        boolean isClosed() {
            return closed;
        }

        @Override
        void close() {
            closed = true;
        }

        @Override
        int port() {
            return 0;
        }

        @Override
        boolean isShared() {
            return false;
        }
    }

    @Test
    void acceptingPausesAfterFailures() throws Exception {
        FailingSocket socket = new FailingSocket();
        OpenConnections connections = new OpenConnections(new ConnectionCapacity(8));
        ListenerServices services = new ListenerServices(
                null, null, MonotonicClock.SYSTEM, eventLog, null, 0, null, null, connections, null, null, null);
        eventLog.start();
        Thread accepting =
                DaemonThreads.newThread("accept", () -> new ConnectionAcceptor(socket, services, null, null).run());
        accepting.start();
        TimeUnit.MILLISECONDS.sleep(FAILING_MS);
        int calls = socket.calls.get();
        socket.close();
        accepting.join(TimeUnit.SECONDS.toMillis(10));
        assertEquals(Thread.State.TERMINATED, accepting.getState());
        assertTrue(calls > 1 && calls <= MAX_CALLS, calls + " calls in " + FAILING_MS + " ms");
        assertTrue(eventLog.counters().contains("accept_failures " + socket.calls.get() + "\n"), eventLog.counters());
        long lines = logged.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains(" accept-failure "))
                .count();
        assertTrue(lines >= 1 && lines <= MAX_LINES, lines + " lines");
    }
}
