package magpiehub.lifecycle;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import magpiehub.concurrent.DaemonThreads;

/**
 * Runs a router on the loopback interface against fake peers while the JVM records the loaded classes in a dynamic CDS
 * archive (JEP 350). Later starts load their classes from the archive, which saves a fifth of their CPU time. Used only
 * by the command {@code rehearse}, which the build runs, and never by a router in service.
 */
public final class ClassArchiveTrainer {
    /** The training run fails if it takes longer. */
    private static final int TIMEOUT_MS = 10_000;

    private static final int RETRY_PERIOD_MS = 20;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int PEER_BACKLOG = 16;

    /** Requests of a known class, which get a response stream. */
    private static final int ACCEPTED_REQUESTS = 2;
    /** The accepted requests and one of an unknown class, which is rejected. */
    private static final int TOTAL_REQUESTS = ACCEPTED_REQUESTS + 1;

    private static final String REQUEST_BODY = "{}";
    private static final String HEAD_END = "\r\n\r\n";
    private static final String RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";
    /** An endpoint list in the discovery service's format; the argument is the fake upstream's port. */
    private static final String ENDPOINT_LIST =
            """
            {"revision":1,"complete":true,"members":[{"id":"e","host_port":"127.0.0.1:%d","locality":"a",\
            "flavor":"m","cell":0,"phase":"Ready","size":1.0,"up_since_ms":0}]}""";
    /** The router's configuration; the arguments are its port, the fake peers' port and the endpoint list. */
    private static final String CONFIGURATION =
            """
            {"name":"rehearsal","listen":"127.0.0.1:%1$d","discovery":"127.0.0.1:%2$d","seed":"1",
            "limits":{"cores":1.0,"memory_mb":192,"sockets":256},"known":%3$s,
            "settings":{"instances":2,"me":0,"myZone":0,"zones":["a","b"],"membershipMode":"subscribe",
            "machineTypes":["m"],"familyInfo":{"resume":true,"tokenAimMs":[50]},
            "accounts":[{"name":"t","share":1,"allowancePerS":9}],
            "classes":[{"name":"c","aimMs":1000,"deadlineMs":4000,"effect":"pure","gain":1,"stream":true}],
            "limits":{"mostTries":3,"cancel":true,"probes":true,"retryAfter":true,"connectTimeoutMs":250},
            "guarantees":{"coldMs":9000,"askWithinMs":10000}}}
            """;

    private static final String TOKEN_EVENT = "data: {\"choices\":[{\"index\":0,\"delta\":{}}]}\n\n";
    private static final String USAGE_EVENT = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,"
            + "\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n";
    private static final String DONE_EVENT = "data: [DONE]\n\n";

    private ClassArchiveTrainer() {}

    /**
     * Starts the fake peers and a client, which ends the process once the router has answered its requests.
     *
     * @return the environment variables to start the router with
     */
    public static Map<String, String> start() throws IOException {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        ServerSocket peers = new ServerSocket(0, PEER_BACKLOG, loopback);
        int peersPort = peers.getLocalPort();
        int routerPort = findFreePort(loopback);
        String endpointList = ENDPOINT_LIST.formatted(peersPort);
        Path file = Files.createTempFile("rehearsal", ".json");
        file.toFile().deleteOnExit();
        Files.writeString(file, CONFIGURATION.formatted(routerPort, peersPort, endpointList));
        DaemonThreads.newThread("peers", () -> acceptPeers(peers, endpointList)).start();
        DaemonThreads.newThread("client", () -> runClient(routerPort)).start();
        return Map.of("ROUTER_CONFIG", file.toString());
    }

    private static int findFreePort(InetAddress address) throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, address)) {
            return free.getLocalPort();
        }
    }

    // The peers: the discovery service and one upstream on a single port.

    private static void acceptPeers(ServerSocket peers, String endpointList) {
        while (true) {
            try {
                Socket connection = peers.accept();
                DaemonThreads.newThread("peer", () -> serveConnection(connection, endpointList))
                        .start();
            } catch (IOException e) {
                return;
            }
        }
    }

    /** Answers the requests on one connection: a discovery watch with the endpoint list, any other with a stream. */
    private static void serveConnection(Socket connection, String endpointList) {
        try (connection) {
            InputStream in = connection.getInputStream();
            while (true) {
                boolean isWatch = readHead(in).startsWith("GET /discovery");
                if (!isWatch) {
                    in.readNBytes(REQUEST_BODY.length());
                }
                String response = RESPONSE_HEAD + (isWatch ? chunk(endpointList + "\n") : completeStream());
                connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            // The router has closed the connection.
        }
    }

    private static String completeStream() {
        return chunk(TOKEN_EVENT) + chunk(TOKEN_EVENT) + chunk(USAGE_EVENT) + chunk(DONE_EVENT) + LAST_CHUNK;
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < HEAD_END.length() || head.lastIndexOf(HEAD_END) != head.length() - HEAD_END.length()) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("connection closed within a message head");
            }
            head.append((char) next);
        }
        return head.toString();
    }

    // The client.

    /** Sends the requests once the router is ready, then exits; with status 1 if that takes too long. */
    private static void runClient(int routerPort) {
        int status = 1;
        try {
            long deadlineNanos = System.nanoTime() + TIMEOUT_MS * NANOS_PER_MILLI;
            while (status != 0 && System.nanoTime() < deadlineNanos) {
                if (sendRequestsIfReady(routerPort)) {
                    status = 0;
                } else {
                    Thread.sleep(RETRY_PERIOD_MS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        System.exit(status);
    }

    private static boolean sendRequestsIfReady(int routerPort) {
        try (Socket connection = new Socket()) {
            connection.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), routerPort), TIMEOUT_MS);
            InputStream in = connection.getInputStream();
            OutputStream out = connection.getOutputStream();
            out.write("GET /up HTTP/1.1\r\nHost: r\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            if (!readHead(in).startsWith("HTTP/1.1 200")) {
                return false;
            }
            for (int i = 0; i < TOTAL_REQUESTS; i++) {
                boolean isAccepted = i < ACCEPTED_REQUESTS;
                out.write(request(i, isAccepted ? "c" : "none").getBytes(StandardCharsets.US_ASCII));
                readHead(in);
                if (isAccepted) {
                    readHead(in); // Reads the chunks: the last one ends with an empty line, as a head does.
                }
            }
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private static String request(int id, String requestClass) {
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nX-Call-Id: " + id
                + "\r\nX-Call-Class: " + requestClass + "\r\nX-Caller: t\r\n"
                + "X-Route-Hash: 7f\r\nX-Budget-Ms: 4000\r\nX-Call-Info: prefix=5c,"
                + "prompt_len=9\r\nContent-Length: 2\r\n\r\n" + REQUEST_BODY;
    }
}
