package magpiehub.discovery;

import java.io.ByteArrayInputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.CertificateFactory;
import java.util.concurrent.atomic.AtomicLong;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLParameters;
import javax.net.ssl.SSLSocket;
import javax.net.ssl.SSLSocketFactory;
import javax.net.ssl.TrustManagerFactory;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.ConfigurationException;
import magpiehub.config.HostPort;
import magpiehub.http.Http;
import magpiehub.http.Sockets;

/**
 * One connection to one endpoint of a registry: calls in, answers out, one at a time. It owns the socket and
 * the count of bytes. It must never know a dialect, try again, or wait by a clock of its own: whoever holds
 * it ends it with {@link #close} from any thread, and the call under way ends with an exception.
 */
final class Wire implements AutoCloseable {
    /** A longer answer is no list of engines: 10,000 entries of Consul's health take some 10 MB. */
    static final int MOST_BYTES = 64 << 20;
    /** What it has to tell counts as told 6 s later, whatever it says of when to come back: that word is
     *  heeded for so long (us). */
    static final long MOST_LATER = 2_000_000;
    /** etcd answers with at most some 2 MB a page, and writes it in one chunk. */
    static final int MOST_LINE = 8 << 20;

    /** An answer other than 200: the status, its text, and how long not to ask again (us; 0 if not told). */
    static final class Refused extends Driver.Answer {
        private static final long serialVersionUID = 1L;
        final int status;
        final long retryAfter;

        Refused(int status, String text, long retryAfter) {
            super("status " + status + (text.isEmpty() ? "" : ": " + text));
            this.status = status;
            this.retryAfter = retryAfter;
        }
    }

    final String endpoint;
    private final Socket plain = new Socket();
    private final SSLContext tls;
    private final MonotonicClock clock;
    private final AtomicLong bytes;
    private volatile Socket socket = plain;
    private volatile long heard;
    private volatile boolean closed;
    private Http.Input in;

    /** A connection that {@link #open} makes; {@code bytes} takes the count of what is read. */
    Wire(String endpoint, SSLContext tls, MonotonicClock clock, AtomicLong bytes) {
        this.endpoint = endpoint;
        this.tls = tls;
        this.clock = clock;
        this.bytes = bytes;
        this.heard = clock.micros();
    }

    /** Trust in the authorities of a PEM file; the JDK's where the file is null. */
    static SSLContext tls(Path authorities) throws IOException {
        try {
            SSLContext c = SSLContext.getInstance("TLS");
            if (authorities == null) {
                c.init(null, null, null);
                return c;
            }
            KeyStore store = KeyStore.getInstance(KeyStore.getDefaultType());
            store.load(null, null);
            int n = 0;
            for (var certificate : CertificateFactory.getInstance("X.509")
                    .generateCertificates(new ByteArrayInputStream(Files.readAllBytes(authorities)))) {
                store.setCertificateEntry("ca" + n++, certificate);
            }
            if (n == 0) {
                throw new ConfigurationException(authorities + " holds no certificate");
            }
            TrustManagerFactory f = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
            f.init(store);
            c.init(null, f.getTrustManagers(), null);
            return c;
        } catch (GeneralSecurityException e) {
            throw new ConfigurationException(
                    (authorities == null ? "TLS" : authorities.toString()) + ": " + e.getMessage());
        }
    }

    void open(int timeoutMs) throws IOException {
        plain.setTcpNoDelay(true);
        plain.connect(HostPort.toSocketAddress(endpoint), timeoutMs);
        if (tls != null) {
            SSLSocketFactory f = tls.getSocketFactory();
            int colon = endpoint.lastIndexOf(':');
            SSLSocket s = (SSLSocket) f.createSocket(
                    plain, endpoint.substring(0, colon), Integer.parseInt(endpoint.substring(colon + 1)), true);
            SSLParameters p = s.getSSLParameters();
            p.setEndpointIdentificationAlgorithm("HTTPS");
            s.setSSLParameters(p);
            socket = s;
            s.startHandshake();
        }
        heard = clock.micros();
        in = new Http.Input(
                new FilterInputStream(socket.getInputStream()) {
                    @Override
                    public int read(byte[] b, int from, int count) throws IOException {
                        int n = super.read(b, from, count);
                        if (n > 0) {
                            heard = clock.micros();
                            bytes.addAndGet(n);
                        }
                        return n;
                    }
                },
                clock::micros);
        in.mostChunk(MOST_BYTES);
    }

    /** For a caller that nobody watches over: how long one reading may take (ms). */
    void patience(int ms) throws IOException {
        plain.setSoTimeout(ms);
    }

    /** When a byte last came (us). Any thread. */
    long heard() {
        return heard;
    }

    /** Sends a call and reads the head of its answer; anything but 200 is {@link Refused}, with {@code also}
     *  let through besides. Header values must not hold line ends. */
    Http.Head ask(String method, String target, byte[] body, int also, String... headers) throws IOException {
        Http.Output out = new Http.Output();
        out.text(method + " " + target + " HTTP/1.1\r\nHost: " + endpoint + "\r\n");
        for (int i = 0; i + 1 < headers.length; i += 2) {
            if (headers[i + 1] != null) {
                out.text(headers[i] + ": " + headers[i + 1] + "\r\n");
            }
        }
        if (body != null) {
            out.text("Content-Type: application/json\r\nContent-Length: " + body.length + "\r\n");
        }
        out.text("\r\n");
        if (body != null) {
            out.bytes(body);
        }
        out.flush(socket.getOutputStream());
        if (!in.await()) {
            throw new java.io.EOFException("ended before an answer");
        }
        Http.Head h = in.head(false);
        if (h.status() != 200 && h.status() != also) {
            throw new Refused(h.status(), text(h), retryAfter(h.get("Retry-After")));
        }
        return h;
    }

    /** The body of an answer; to be read to its end, or the wire closed. */
    InputStream content(Http.Head h) throws IOException {
        return in.content(h, MOST_BYTES);
    }

    void lines(Http.Head h, Http.Events to) throws IOException, InterruptedException {
        in.lines(h, to, MOST_LINE);
    }

    /** The beginning of an error's body, in one line; what it says is for people. */
    private String text(Http.Head h) {
        try {
            InputStream body = content(h);
            byte[] b = body.readNBytes(512);
            while (body.read(new byte[4096]) >= 0) {
                continue;
            }
            return new String(b, StandardCharsets.UTF_8)
                    .replaceAll("[\\x00-\\x1f]+", " ")
                    .strip();
        } catch (IOException e) {
            close();
            return "";
        }
    }

    static long retryAfter(String v) {
        try {
            return v == null ? 0 : Math.max(0, Math.min(MOST_LATER, (long) (Double.parseDouble(v) * 1e6)));
        } catch (NumberFormatException e) {
            return 0; // A date: the endpoint's own wait will do.
        }
    }

    boolean closed() {
        return closed;
    }

    @Override
    public void close() {
        closed = true;
        Sockets.closeQuietly(socket);
        Sockets.closeQuietly(plain);
    }
}
