package magpiehub;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import magpiehub.concurrent.DaemonThreads;

/** A discovery service whose list never changes: each watch gets heartbeats until its socket is closed. */
final class FakeDiscovery {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String HEARTBEAT = "1\r\n\n\r\n";
    private static final int HEARTBEAT_INTERVAL_SECONDS = 1;

    private FakeDiscovery() {}

    /** Accepts watches on a socket and serves each on a thread of its own. */
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
                TimeUnit.SECONDS.sleep(HEARTBEAT_INTERVAL_SECONDS);
            }
        } catch (IOException | InterruptedException e) {
            // The router closed the watch, or the test is over.
        }
    }
}
