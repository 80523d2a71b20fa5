import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The platform's discovery as its page describes it: the whole list, and watches with the changes since a version and
 * an empty line every 2 s.
 */
final class Discovery {
    private final Rig rig;
    private final ServerSocket server;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final Map<String, Integer> changedAt = new LinkedHashMap<>();
    private int revision = 41;

    Discovery(Rig rig) throws IOException {
        this.rig = rig;
        server = new ServerSocket(0, 64, Rig.LOOPBACK);
        Rig.daemon(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    /** Adds or changes an engine: its id, port and phase. */
    synchronized void put(String id, int port, String phase) {
        revision++;
        entries.put(
                id,
                "{\"id\":\"" + id + "\",\"host_port\":\"" + Rig.address(port)
                        + "\",\"locality\":\"anping\",\"flavor\":\"gpu-new\",\"cell\":0,\"phase\":\"" + phase
                        + "\",\"size\":1.0,\"up_since_ms\":0}");
        changedAt.put(id, revision);
        rig.log("discovery: " + id + " is " + phase + ", revision " + revision);
        notifyAll();
    }

    /** The whole list in discovery's form. */
    synchronized String list() {
        return "{\"revision\":" + revision + ",\"complete\":true,\"members\":[" + String.join(",", entries.values()) + "]}";
    }

    private synchronized String changesSince(int since) {
        List<String> changed = new ArrayList<>();
        changedAt.forEach((id, at) -> {
            if (at > since) {
                changed.add(entries.get(id));
            }
        });
        return "{\"revision\":" + revision + ",\"complete\":false,\"members\":[" + String.join(",", changed) + "]}";
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Rig.daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (String line = Rig.readLine(in); line != null; line = Rig.readLine(in)) {
                String target = line.split(" ")[1];
                while (!Rig.readLine(in).isEmpty()) {
                    // Headers are not needed.
                }
                rig.log("discovery: call " + target);
                if (target.contains("follow=1")) {
                    follow(out, target);
                    return;
                } else {
                    byte[] body = list().getBytes(StandardCharsets.UTF_8);
                    out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                    out.write(body);
                }
            }
        } catch (IOException | RuntimeException e) {
            // The caller has gone.
        }
    }

    private void follow(OutputStream out, String target) throws IOException {
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        int at = target.indexOf("since=");
        int sent;
        String first = null;
        synchronized (this) {
            int since = at < 0 ? -1 : Integer.parseInt(target.substring(at + 6).split("&")[0]);
            if (since < 0 || since > revision) {
                first = list();
            } else if (since < revision) {
                first = changesSince(since);
            }
            sent = revision;
        }
        if (first != null) {
            chunk(out, first + "\n");
        }
        while (true) {
            String next = "";
            synchronized (this) {
                long until = System.nanoTime() + 2_000_000_000L;
                try {
                    while (revision == sent && System.nanoTime() < until) {
                        wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
                    }
                } catch (InterruptedException e) {
                    return;
                }
                if (revision != sent) {
                    next = changesSince(sent);
                    sent = revision;
                }
            }
            chunk(out, next + "\n");
            if (!next.isEmpty()) {
                rig.log("discovery: told " + next);
            }
        }
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.write((Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
    }
}
