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
import magpiehub.concurrent.Mailbox;

/**
 * One short service on loopback with made-up peers, so that the JVM can record the classes of a router in an
 * archive (JEP 350) when the program is built: a start then reads them from there, which saves a fifth of its
 * CPU. It owns the peers' two answers. It must never be part of a router that serves: the command
 * {@code rehearse} runs it and ends.
 */
public final class ClassArchiveTrainer {
    private static final int LONGEST_MS = 10_000;
    private static final String LIST =
            """
            {"revision":1,"complete":true,"members":[{"id":"e","host_port":"127.0.0.1:%d","locality":"a",\
            "flavor":"m","cell":0,"phase":"Ready","size":1.0,"up_since_ms":0}]}""";
    private static final String CONFIG =
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
    private static final String EVENT = "data: {\"choices\":[{\"index\":0,\"delta\":{}}]}\n\n";
    private static final String USAGE = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,"
            + "\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n";

    private ClassArchiveTrainer() {}

    /** What a router is to serve with; its peers answer until the process ends. */
    public static Map<String, String> begin() throws IOException {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        ServerSocket peers = new ServerSocket(0, 16, loopback);
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, loopback)) {
            port = free.getLocalPort();
        }
        String list = LIST.formatted(peers.getLocalPort());
        Path file = Files.createTempFile("rehearsal", ".json");
        file.toFile().deleteOnExit();
        Files.writeString(file, CONFIG.formatted(port, peers.getLocalPort(), list));
        Mailbox.thread("peers", () -> {
                    while (true) {
                        try {
                            Socket s = peers.accept();
                            Mailbox.thread("peer", () -> answer(s, list)).start();
                        } catch (IOException e) {
                            return;
                        }
                    }
                })
                .start();
        Mailbox.thread("client", () -> ask(port)).start();
        return Map.of("ROUTER_CONFIG", file.toString());
    }

    private static String head(InputStream in) throws IOException {
        StringBuilder b = new StringBuilder();
        while (b.length() < 4 || b.lastIndexOf("\r\n\r\n") != b.length() - 4) {
            int c = in.read();
            if (c < 0) {
                throw new IOException("ended");
            }
            b.append((char) c);
        }
        return b.toString();
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** The engine's or discovery's side of one connection, by what it is asked. */
    private static void answer(Socket s, String list) {
        try (s) {
            while (true) {
                String head = head(s.getInputStream());
                String ok = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                boolean watch = head.startsWith("GET /discovery");
                if (!watch) {
                    s.getInputStream().readNBytes(2);
                }
                String stream = chunk(EVENT) + chunk(EVENT) + chunk(USAGE) + chunk("data: [DONE]\n\n");
                s.getOutputStream()
                        .write((ok + (watch ? chunk(list + "\n") : stream + "0\r\n\r\n"))
                                .getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            // The router has ended its side.
        }
    }

    /** The client: waits until the router is ready, has two requests served and one refused, and ends the
     *  process. */
    private static void ask(int port) {
        int status = 1;
        try {
            long until = System.nanoTime() + LONGEST_MS * 1_000_000L;
            while (status != 0 && System.nanoTime() < until) {
                try (Socket s = new Socket()) {
                    s.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), LONGEST_MS);
                    OutputStream out = s.getOutputStream();
                    out.write("GET /up HTTP/1.1\r\nHost: r\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    if (head(s.getInputStream()).startsWith("HTTP/1.1 200")) {
                        for (int i = 0; i < 3; i++) {
                            out.write(("POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nX-Call-Id: " + i
                                            + "\r\nX-Call-Class: " + (i < 2 ? "c" : "none") + "\r\nX-Caller: t\r\n"
                                            + "X-Route-Hash: 7f\r\nX-Budget-Ms: 4000\r\nX-Call-Info: prefix=5c,"
                                            + "prompt_len=9\r\nContent-Length: 2\r\n\r\n{}")
                                    .getBytes(StandardCharsets.US_ASCII));
                            head(s.getInputStream());
                            if (i < 2) {
                                head(s.getInputStream()); // To the stream's last chunk.
                            }
                        }
                        status = 0;
                    } else {
                        Thread.sleep(20);
                    }
                } catch (IOException e) {
                    Thread.sleep(20);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        System.exit(status);
    }
}
