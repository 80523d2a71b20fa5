package magpiehub.admin;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.UnaryOperator;
import magpiehub.concurrent.Mailbox;
import magpiehub.http.Sockets;
import magpiehub.telemetry.EventLog;

/**
 * The operators' door: a listener of its own, one line to a connection, one line back. It owns its
 * connections and the form of a call. It must never make one caller wait for another, take a call that has
 * not come whole, or hold more than a few connections and a few hundred bytes of each: when too many are
 * there, the one that has been there longest goes.
 */
public final class AdminServer {
    /** Connections at most, and bytes of a line. */
    static final int MOST = 24;

    static final int MOST_LINE = 512;
    /** How long a caller may take for its line, and then to close its side (ms). */
    private static final int PATIENCE_MS = 5_000;

    private static final int LINGER_MS = 500;

    private final ServerSocket server = new ServerSocket();
    private final UnaryOperator<String> calls;
    private final EventLog journal;
    /** In the order of their coming. */
    private final Set<Socket> callers = new LinkedHashSet<>();

    /** A listener that is bound and answers nothing until {@link #start}; {@code calls} answers one line. */
    public AdminServer(InetSocketAddress listen, UnaryOperator<String> calls, EventLog journal) throws IOException {
        this.calls = calls;
        this.journal = journal;
        server.setReuseAddress(true);
        server.bind(listen, 128);
    }

    public int port() {
        return server.getLocalPort();
    }

    public void start() {
        Mailbox.thread("console", this::accept).start();
    }

    private void accept() {
        while (!server.isClosed()) {
            Socket s = null;
            try {
                s = server.accept();
                admit(s);
                Socket caller = s;
                Mailbox.thread("console-caller", () -> serve(caller)).start();
            } catch (IOException | OutOfMemoryError e) {
                journal.count("console_accept_failures");
                if (s != null) {
                    leave(s);
                }
            }
        }
    }

    private void admit(Socket s) {
        Socket oldest = null;
        synchronized (callers) {
            callers.add(s);
            if (callers.size() > MOST) {
                oldest = callers.iterator().next();
                callers.remove(oldest);
            }
        }
        if (oldest != null) {
            journal.count("console_callers_shed");
            Sockets.closeQuietly(oldest);
        }
    }

    private void leave(Socket s) {
        synchronized (callers) {
            callers.remove(s);
        }
        Sockets.closeQuietly(s);
    }

    private void serve(Socket s) {
        try {
            s.setTcpNoDelay(true);
            String answer;
            try {
                String line = line(s);
                answer = calls.apply(line);
            } catch (Malformed e) {
                journal.count("console_malformed");
                answer = "FAILURE " + e.getMessage();
            } catch (RuntimeException | OutOfMemoryError e) {
                journal.count("console_exceptions");
                journal.log("console-exception", "error", e.toString());
                answer = "FAILURE internal error";
            }
            s.getOutputStream().write((answer + "\n").getBytes(StandardCharsets.UTF_8));
            s.shutdownOutput();
            // What the caller still sends is read, or a reset would destroy the answer on its way.
            byte[] rest = new byte[256];
            long until = System.nanoTime() + LINGER_MS * 1_000_000L;
            for (int n = 0; n >= 0 && System.nanoTime() < until; ) {
                s.setSoTimeout(LINGER_MS);
                n = s.getInputStream().read(rest);
            }
        } catch (IOException e) {
            // The caller has gone, or had to go.
        } finally {
            leave(s);
        }
    }

    /** What is no call: the reason. */
    private static final class Malformed extends IOException {
        private static final long serialVersionUID = 1L;

        Malformed(String why) {
            super(why);
        }
    }

    /** The one line that a connection may send, without its end. */
    private static String line(Socket s) throws IOException {
        InputStream in = s.getInputStream();
        long until = System.nanoTime() + PATIENCE_MS * 1_000_000L;
        byte[] b = new byte[MOST_LINE];
        int n = 0;
        int end = -1;
        while (end < 0) {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                throw new Malformed("no whole line in time");
            }
            s.setSoTimeout((int) left);
            int got;
            try {
                got = in.read(b, n, b.length - n);
            } catch (SocketTimeoutException e) {
                throw new Malformed("no whole line in time");
            }
            if (got < 0) {
                throw new Malformed(n == 0 ? "no line" : "the line has no end");
            }
            for (int i = n; i < n + got && end < 0; i++) {
                end = b[i] == '\n' ? i : -1;
            }
            n += got;
            if (end < 0 && n == b.length) {
                throw new Malformed("the line is longer than " + MOST_LINE + " bytes");
            }
        }
        if (end + 1 < n) {
            throw new Malformed("one line to a connection");
        }
        int length = end > 0 && b[end - 1] == '\r' ? end - 1 : end;
        for (int i = 0; i < length; i++) {
            if (b[i] < ' ' || b[i] == 0x7f) {
                throw new Malformed("the line is no printable ASCII");
            }
        }
        return new String(b, 0, length, StandardCharsets.US_ASCII);
    }
}
