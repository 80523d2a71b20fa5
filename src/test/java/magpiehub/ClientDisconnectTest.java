package magpiehub;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.management.ManagementFactory;
import org.junit.jupiter.api.Test;

/** Many clients that disconnect, more than a recorded exchange has lines for. */
class ClientDisconnectTest {
    private static final int CLIENTS = 300;

    /** Clients that connect, send one request and disconnect, one after another: no thread is started for each. */
    @Test
    void manyShortConnectionsNeedFewThreads() throws Exception {
        try (ExchangeReplayer p = new ExchangeReplayer()) {
            p.step("engines e1");
            p.step("start");
            long before = ManagementFactory.getThreadMXBean().getTotalStartedThreadCount();
            for (int i = 0; i < CLIENTS; i++) {
                p.step("c" + i + "> GET /up HTTP/1.1");
                p.step("c" + i + "> ");
                p.step("c" + i + "< HTTP/1.1 200 OK");
                p.step("c" + i + "!");
                p.step("counter clients_left " + (i + 1));
            }
            long started = ManagementFactory.getThreadMXBean().getTotalStartedThreadCount() - before;
            assertTrue(started < CLIENTS / 2, started + " threads for " + CLIENTS + " connections");
        }
    }

    /** Their requests wait for the dispatcher: none reaches an upstream, and a client that stays is served. */
    @Test
    void noRequestOfABurstOfDisconnectedClientsIsForwarded() throws Exception {
        try (ExchangeReplayer p = new ExchangeReplayer()) {
            p.step("most 400");
            p.step("engines e1");
            p.step("start");
            p.step("hold");
            for (int i = 0; i < CLIENTS; i++) {
                p.step("c" + i + "? text " + i);
            }
            for (int i = 0; i < CLIENTS; i++) {
                p.step("c" + i + (i % 3 == 0 ? "!!" : i % 3 == 1 ? "!" : "!-"));
            }
            p.step("counter clients_left " + CLIENTS);
            p.step("release");
            p.step("counter answered_abandoned " + CLIENTS);
            p.step("stays? text");
            p.step("e1+");
            p.step("e1? text");
            p.step("counter sent 1");
            p.step("counter engine_connects 1");
            p.step("e1> HTTP/1.1 200 OK");
            p.step("e1> Transfer-Encoding: chunked");
            p.step("e1> ");
            p.step("e1>.");
            p.step("stays= served at 0");
        }
    }
}
