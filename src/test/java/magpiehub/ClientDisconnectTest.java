package magpiehub;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.management.ManagementFactory;
import org.junit.jupiter.api.Test;

/** Hundreds of clients that disconnect, too many to write out as a recorded exchange. */
class ClientDisconnectTest {
    private static final int CLIENTS = 300;

    /** Clients that connect, send one request and disconnect in turn: connections reuse the router's threads. */
    @Test
    void shortConnectionsShareThreads() throws Exception {
        try (ExchangeReplayer replayer = new ExchangeReplayer()) {
            replayer.step("engines e1");
            replayer.step("start");
            long before = ManagementFactory.getThreadMXBean().getTotalStartedThreadCount();
            for (int i = 0; i < CLIENTS; i++) {
                replayer.step("c" + i + "> GET /up HTTP/1.1");
                replayer.step("c" + i + "> ");
                replayer.step("c" + i + "< HTTP/1.1 200 OK");
                replayer.step("c" + i + "!");
                replayer.step("counter clients_left " + (i + 1));
            }
            long started = ManagementFactory.getThreadMXBean().getTotalStartedThreadCount() - before;
            assertTrue(started < CLIENTS / 2, started + " threads for " + CLIENTS + " connections");
        }
    }

    /** Requests of clients that disconnect before dispatch reach no upstream, and a client that stays is served. */
    @Test
    void noRequestOfABurstOfDisconnectedClientsIsForwarded() throws Exception {
        try (ExchangeReplayer replayer = new ExchangeReplayer()) {
            replayer.step("most 400");
            replayer.step("engines e1");
            replayer.step("start");
            replayer.step("hold");
            for (int i = 0; i < CLIENTS; i++) {
                replayer.step("c" + i + "? text " + i);
            }
            for (int i = 0; i < CLIENTS; i++) {
                replayer.step("c" + i + (i % 3 == 0 ? "!!" : i % 3 == 1 ? "!" : "!-"));
            }
            replayer.step("counter clients_left " + CLIENTS);
            replayer.step("release");
            replayer.step("counter answered_abandoned " + CLIENTS);
            replayer.step("stays? text");
            replayer.step("e1+");
            replayer.step("e1? text");
            replayer.step("counter sent 1");
            replayer.step("counter engine_connects 1");
            replayer.step("e1> HTTP/1.1 200 OK");
            replayer.step("e1> Transfer-Encoding: chunked");
            replayer.step("e1> ");
            replayer.step("e1>~ data: [DONE]\\n\\n");
            replayer.step("e1>.");
            replayer.step("stays= served at 0");
        }
    }
}
