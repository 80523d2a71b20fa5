package magpiehub;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import magpiehub.concurrent.DaemonThreads;

/** A discovery whose list never changes: each watch gets heartbeats, until its socket is closed. */
final class FakeDiscovery {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String HEARTBEAT = "1\r\n\n\r\n";
    private static final int PERIOD_SECONDS = 1;

    private FakeDiscovery() {}

    /** Serves the watches of a socket on threads of their own. */
    static void serve(ServerSocket discovery) {
        DaemonThreads.newThread("discovery", () -> acceptWatches(discovery)).start();
    }

    private static void acceptWatches(ServerSocket discovery) {
        try {
            while (true) {
                Socket watch = discovery.accept();
                DaemonThreads.newThread("watch", () -> sendHeartbeats(watch)).start();
            }
        } catch (IOException e) {
            // The test is over.
        }
    }

    private static void sendHeartbeats(Socket watch) {
        try (watch) {
            ServeTest.send(watch, HEAD);
            while (true) {
                ServeTest.send(watch, HEARTBEAT);
                TimeUnit.SECONDS.sleep(PERIOD_SECONDS);
            }
        } catch (IOException | InterruptedException e) {
            // The router has closed it, or the test is over.
        }
    }
}
