package magpiehub;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against taking a new process at the address of one that has gone for the old one. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class AddressReuseTest {
    private static final int NO_ATTEMPT_MS = 1_000;
    /** Several times as long as a connection rests before it is used again. */
    private static final long QUIET_MS = 200;

    private static final String WHOLE =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\ne\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";

    @TempDir
    Path folder;

    /**
     * Replicas of a zone recognize a repeated request. One of another zone takes over the address of a replica that has
     * gone, while the list still names that one, too: a repeat for the first zone must not be sent to the address.
     */
    @Test
    void noRepeatIsSentToAProcessOfAnotherZoneAtTheAddress() throws Exception {
        try (ServerSocket secondEngine = RouterProcess.listen();
                RouterProcess router = new RouterProcess(Files.createTempFile(folder, "router", ".json"))) {
            router.replaceInConfiguration(
                    "\"effect\":\"pure\"", "\"effect\":\"token\",\"group\":\"zone\",\"windowMs\":10000");
            router.replaceInConfiguration("\"phase\":\"Ready\"", "\"locality\":\"a\",\"phase\":\"Ready\"");
            router.replaceInConfiguration(
                    "\"members\":[",
                    "\"members\":[" + String.format("{\"id\":\"g\",\"locality\":\"a\",%s},", at(secondEngine)));
            router.start();
            try (Socket watch = router.acceptWatch();
                    Socket client = new Socket(RouterProcess.LOOPBACK, router.awaitListeningPort())) {
                BufferedReader answer = ServeTest.reader(client);
                ServeTest.send(client, RouterProcess.chatRequest("once", "4000"));
                ServerSocket other = secondEngine;
                try (Socket first = acceptAtEither(router.engine, secondEngine)) {
                    RouterProcess.readRequest(ServeTest.reader(first));
                    other = first.getLocalPort() == secondEngine.getLocalPort() ? router.engine : secondEngine;
                    list(router, watch, "{\"id\":\"f\",\"locality\":\"b\",%s}", other);
                    first.setSoLinger(true, 0);
                }
                other.setSoTimeout(NO_ATTEMPT_MS);
                assertThrows(SocketTimeoutException.class, other::accept, "the request has run twice");
                assertEquals("HTTP/1.1 504 Gateway Timeout", answer.readLine());
            }
        }
    }

    private static Socket acceptAtEither(ServerSocket one, ServerSocket other) throws IOException {
        one.setSoTimeout(NO_ATTEMPT_MS);
        try {
            return one.accept();
        } catch (SocketTimeoutException e) {
            return other.accept();
        }
    }

    /** A replica that has been started anew gets its requests on new connections. */
    @Test
    void noConnectionToTheOldProcessIsUsedForTheNewOne() throws Exception {
        try (RouterProcess router = new RouterProcess(Files.createTempFile(folder, "router", ".json"))) {
            router.start();
            try (Socket watch = router.acceptWatch()) {
                int port = router.awaitListeningPort();
                try (Socket old = serve(router, port, "first")) {
                    router.engine.setSoTimeout(NO_ATTEMPT_MS);
                    Thread.sleep(QUIET_MS);
                    list(router, watch, "{\"id\":\"e\",\"up_since_ms\":1796000000000,%s}", router.engine);
                    try (Socket started = serve(router, port, "second")) {
                        assertTrue(started.isConnected());
                    }
                    assertEquals(-1, old.getInputStream().read(), "the old connection is still open");
                }
            }
        }
    }

    /** Serves a request on a new connection, which stays open. */
    private static Socket serve(RouterProcess router, int port, String id) throws IOException {
        try (Socket client = new Socket(RouterProcess.LOOPBACK, port)) {
            ServeTest.send(client, RouterProcess.chatRequest(id, "4000"));
            Socket upstream = router.engine.accept();
            assertEquals(id, RouterProcess.readRequest(ServeTest.reader(upstream)));
            ServeTest.send(upstream, WHOLE);
            ServeTest.readUntil(ServeTest.reader(client), "[DONE]");
            return upstream;
        }
    }

    /** Tells the router of an endpoint at the address of an engine, and waits until it has applied that. */
    private static void list(RouterProcess router, Socket watch, String entry, ServerSocket engine) throws IOException {
        String line = "{\"revision\":2,\"complete\":false,\"members\":[" + String.format(entry, at(engine)) + "]}\n";
        ServeTest.send(watch, Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
        router.awaitLogLine(" list ");
    }

    private static String at(ServerSocket engine) {
        return "\"host_port\":\"127.0.0.1:" + engine.getLocalPort() + "\",\"phase\":\"Ready\"";
    }
}
