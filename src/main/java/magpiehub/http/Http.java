package magpiehub.http;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Predicate;

/**
 * HTTP/1.1 as bytes: reading heads, bodies and the events of a stream from one buffer a connection, and
 * writing heads and chunks to another. It owns the limits on what is read. It must never open, close or wait
 * for anything but the bytes it is asked for, and never let through a message whose end two readers could
 * place differently: such a message is {@link Bad}, and its connection ends.
 */
public final class Http {
    /** The largest head and the largest body that are read. */
    public static final int MOST_HEAD = 16 * 1024;

    public static final int MOST_BODY = 256 * 1024;
    private static final int MOST_HEADERS = 100;
    private static final int MOST_CHUNK_LINE = 256;
    private static final int MOST_CHUNK = 4 * MOST_BODY;
    /** Headers that speak of one connection or one message's framing (RFC 9110, 7.6.1), and of its
     *  receiver. */
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "content-length",
            "expect",
            "host",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private Http() {}

    /** What can't be read: the status it is answered with, and the connection ends. */
    public static final class Bad extends IOException {
        private static final long serialVersionUID = 1L;
        public final int status;

        public Bad(int status, String why) {
            super(why);
            this.status = status;
        }
    }

    /** Start line and headers of a message. */
    public static final class Head {
        /** For a request method, target and version; for an answer version, status and reason. */
        public final String[] start;

        private final List<String> names = new ArrayList<>();
        private final List<String> values = new ArrayList<>();

        Head(String[] start) {
            this.start = start;
        }

        /** A header's value, the first if it stands several times; null if it is absent. */
        public String get(String name) {
            for (int i = 0; i < names.size(); i++) {
                if (names.get(i).equalsIgnoreCase(name)) {
                    return values.get(i);
                }
            }
            return null;
        }

        public int status() {
            return Integer.parseInt(start[1]);
        }

        /** Whether a comma-separated header holds a word. */
        public boolean has(String name, String word) {
            for (int i = 0; i < names.size(); i++) {
                if (names.get(i).equalsIgnoreCase(name)) {
                    for (String part : values.get(i).split(",")) {
                        if (part.strip().equalsIgnoreCase(word)) {
                            return true;
                        }
                    }
                }
            }
            return false;
        }

        /** Guards against a header that two readers could take from two places. */
        public String only(String name) throws Bad {
            if (count(name) > 1) {
                throw new Bad(400, name + " stands twice");
            }
            return get(name);
        }

        private int count(String name) {
            return (int) names.stream().filter(name::equalsIgnoreCase).count();
        }

        /** The header lines, as they came, that a proxy passes on: those of these names that are not the
         *  connection's own. Names are asked for in lower case. */
        public byte[] endToEnd(Predicate<String> passes) {
            StringBuilder lines = new StringBuilder();
            for (int i = 0; i < names.size(); i++) {
                String name = names.get(i).toLowerCase(Locale.ROOT);
                if (!HOP_BY_HOP.contains(name) && !has("Connection", name) && passes.test(name)) {
                    lines.append(names.get(i))
                            .append(": ")
                            .append(values.get(i))
                            .append("\r\n");
                }
            }
            return lines.toString().getBytes(StandardCharsets.ISO_8859_1);
        }

        /** Whether the sender closes after this message. */
        public boolean closes() {
            String version = start[0].startsWith("HTTP/") ? start[0] : start[2];
            return has("Connection", "close") || (version.equals("HTTP/1.0") && !has("Connection", "keep-alive"));
        }
    }

    /** What is read piece by piece: called for each event of a stream as soon as its last byte is here. */
    public interface Events {
        void event(byte[] event) throws IOException, InterruptedException;
    }

    /** The reading side of one connection: one buffer, growing as needed, compacted in place. */
    public static final class Input {
        private final InputStream in;
        private final Time time;
        private byte[] buf = new byte[2048];
        private int pos;
        private int end;
        private long firstAt;
        private long patience = Long.MAX_VALUE;
        private int mostChunk = MOST_CHUNK;

        /** Says what time it is: once a read, which is this loop's turn. */
        public interface Time {
            long micros();
        }

        public Input(InputStream in, Time time) {
            this.in = in;
            this.time = time;
        }

        /** How long a message may take from its first byte (us); one that comes byte by byte ends too. */
        public void patience(long most) {
            patience = most;
        }

        /** The largest chunk that this peer may send, where it is not one of the fleet's. */
        public void mostChunk(int bytes) {
            mostChunk = bytes;
        }

        /** When the first byte of the message being read came (us). */
        public long firstAt() {
            return firstAt;
        }

        /** Whether nothing has come yet behind the message just read. */
        public boolean empty() {
            return pos == end;
        }

        /** Waits for the first byte of the next message; false if the peer has ended the connection. */
        public boolean await() throws IOException {
            if (pos == end) {
                if (buf.length > 8192) {
                    // Guards against idle connections that hold their largest body's room.
                    buf = new byte[2048];
                }
                pos = 0;
                end = 0;
                if (!fill()) {
                    return false;
                }
                firstAt = time.micros();
            }
            return true;
        }

        /** More bytes behind those held; false at the end of the stream. */
        private boolean fill() throws IOException {
            if (end == buf.length) {
                if (pos > 0) {
                    System.arraycopy(buf, pos, buf, 0, end - pos);
                    end -= pos;
                    pos = 0;
                } else {
                    buf = Arrays.copyOf(buf, buf.length * 2);
                }
            }
            int n = in.read(buf, end, Math.min(buf.length - end, 16 * 1024));
            if (n <= 0) {
                return false;
            }
            end += n;
            return true;
        }

        private void more(String where) throws IOException {
            if (patience != Long.MAX_VALUE && time.micros() - firstAt > patience) {
                throw new java.net.SocketTimeoutException("too slow in " + where);
            }
            if (!fill()) {
                throw new java.io.EOFException("connection ended in " + where);
            }
        }

        /** One line without its end; {@code status} is the answer to one that is too long. */
        private String line(int most, int status, String what) throws IOException {
            return line(most, status, what, false);
        }

        /** {@code any} takes control characters too, for what is not read any further. */
        private String line(int most, int status, String what, boolean any) throws IOException {
            int seen = 0;
            while (true) {
                for (; pos + seen < end; seen++) {
                    if (buf[pos + seen] == '\n') {
                        int length = seen > 0 && buf[pos + seen - 1] == '\r' ? seen - 1 : seen;
                        String s = new String(buf, pos, length, StandardCharsets.ISO_8859_1);
                        pos += seen + 1;
                        for (int i = 0; i < length && !any; i++) {
                            char c = s.charAt(i);
                            if ((c < ' ' && c != '\t') || c == 0x7f) {
                                throw new Bad(400, "control character in " + what);
                            }
                        }
                        return s;
                    }
                    if (seen >= most) {
                        throw new Bad(status, what + " too long");
                    }
                }
                more(what);
            }
        }

        /** The head of a message. */
        public Head head(boolean request) throws IOException {
            int room = MOST_HEAD;
            String first = line(room, 431, "start line");
            for (int i = 0; first.isEmpty() && i < 2; i++) {
                // A peer may end its last body with a line end too many.
                first = line(room, 431, "start line");
            }
            room -= first.length();
            String[] start = request ? first.split(" ", -1) : first.split(" ", 3);
            if (request
                    && (start.length != 3
                            || !token(start[0])
                            || start[1].isEmpty()
                            || (!start[2].equals("HTTP/1.1") && !start[2].equals("HTTP/1.0")))) {
                throw new Bad(400, "malformed request line");
            }
            if (!request
                    && (start.length < 2
                            || !start[0].startsWith("HTTP/1.")
                            || start[1].length() != 3
                            || !digits(start[1]))) {
                throw new Bad(502, "malformed status line");
            }
            Head h = new Head(start);
            while (true) {
                String l = line(room, 431, "header", !request);
                if (l.isEmpty()) {
                    return h;
                }
                room -= l.length() + 2;
                int colon = l.indexOf(':');
                // A folded line or a space before the colon is read differently by different readers.
                if (colon <= 0 || !token(l.substring(0, colon))) {
                    throw new Bad(400, "malformed header");
                }
                if (room <= 0 || h.names.size() >= MOST_HEADERS) {
                    throw new Bad(431, "headers too large");
                }
                h.names.add(l.substring(0, colon));
                h.values.add(l.substring(colon + 1).strip());
                // An engine's report that can't be read is no fault of its answer; its framing must be right:
                // what framing() takes has no room for a control character.
            }
        }

        /** How long a body is: its length, -1 for chunks, 0 where the head says nothing. */
        private static int framing(Head h) throws Bad {
            return framing(h, MOST_BODY);
        }

        private static int framing(Head h, int most) throws Bad {
            String coding = h.get("Transfer-Encoding");
            String length = h.get("Content-Length");
            if (coding != null) {
                if (length != null || h.count("Transfer-Encoding") > 1 || !coding.equalsIgnoreCase("chunked")) {
                    throw new Bad(400, "ambiguous framing");
                }
                return -1;
            }
            if (length == null) {
                return 0;
            }
            if (h.count("Content-Length") > 1 || length.isEmpty() || length.length() > 15 || !digits(length)) {
                throw new Bad(400, "malformed Content-Length");
            }
            if (Long.parseLong(length) > most) {
                throw new Bad(413, "body too large");
            }
            return Integer.parseInt(length);
        }

        /** Room that a message's body may take: what its head says, or the most where it does not say. */
        public static int announced(Head h) throws Bad {
            int length = framing(h);
            return length < 0 ? MOST_BODY : length;
        }

        /** The whole body of a message. */
        public byte[] body(Head h) throws IOException {
            int length = framing(h);
            if (length >= 0) {
                while (end - pos < length) {
                    more("body");
                }
                byte[] b = Arrays.copyOfRange(buf, pos, pos + length);
                pos += length;
                return b;
            }
            Output all = new Output();
            for (int n = chunk(); n > 0; n = chunk()) {
                if (all.length() + n > MOST_BODY) {
                    throw new Bad(413, "body too large");
                }
                while (end - pos < n) {
                    more("chunk");
                }
                all.bytes(buf, pos, n);
                pos += n;
                chunkEnd();
            }
            return all.take();
        }

        /** The size of the next chunk; after the last one the trailers are read too. */
        private int chunk() throws IOException {
            String l = line(MOST_CHUNK_LINE, 400, "chunk size");
            int semicolon = l.indexOf(';');
            String size = (semicolon < 0 ? l : l.substring(0, semicolon)).strip();
            if (size.isEmpty() || size.length() > 16) {
                throw new Bad(400, "malformed chunk size");
            }
            long n = 0;
            for (int i = 0; i < size.length(); i++) {
                int d = Character.digit(size.charAt(i), 16);
                if (d < 0 || size.charAt(i) > 'f') {
                    throw new Bad(400, "malformed chunk size");
                }
                n = n * 16 + d;
                if (n > mostChunk) {
                    // Also what would not fit a number; nobody's chunk is so large, its end never comes.
                    throw new Bad(413, "chunk too large");
                }
            }
            for (int i = 0; n == 0 && !line(MOST_HEAD, 431, "trailer").isEmpty(); i++) {
                if (i >= MOST_HEADERS) {
                    throw new Bad(431, "trailers too large");
                }
            }
            return (int) n;
        }

        private void chunkEnd() throws IOException {
            if (!line(2, 400, "chunk end").isEmpty()) {
                throw new Bad(400, "chunk longer than its size");
            }
        }

        /** The events of a streamed body, each up to and with its blank line, until the body's last chunk. */
        public void events(Head h, Events to) throws IOException, InterruptedException {
            int length = framing(h);
            if (length == 0) {
                throw new Bad(502, "stream without framing");
            }
            Output event = new Output();
            int chunk = length > 0 ? length : chunk();
            while (chunk > 0) {
                if (pos == end) {
                    more("chunk");
                }
                int n = Math.min(chunk, end - pos);
                for (int i = 0; i < n; i++) {
                    byte b = buf[pos++];
                    event.put(b);
                    if (b == '\n' && event.endsBlank()) {
                        to.event(checked(event));
                    }
                }
                if (event.length() > MOST_BODY) {
                    throw new Bad(502, "event too large");
                }
                chunk -= n;
                if (chunk == 0 && length < 0) {
                    chunkEnd();
                    chunk = chunk();
                }
            }
            if (event.length() > 0) {
                to.event(checked(event));
            }
        }

        /** Guards against a chunk whose size is wrong: the framing that it swallowed is no event. */
        private static byte[] checked(Output event) throws Bad {
            byte[] b = event.take();
            for (int i = 0; i < b.length; i++) {
                if (b[i] == ':') {
                    return b;
                }
                if (b[i] < ' ') {
                    break;
                }
            }
            throw new Bad(502, "malformed event");
        }

        /**
         * A body as a stream, for what is read piece by piece and may be large. It ends where the body ends,
         * and is to be read to its end before the next message.
         *
         * @param most bytes; a longer body is {@link Bad} 413
         */
        public InputStream content(Head h, int most) throws IOException {
            int length = framing(h, most);
            return new InputStream() {
                private boolean over = length == 0;
                private int left = Math.max(0, length);
                private boolean inChunks;
                private long total;

                @Override
                public int read() throws IOException {
                    byte[] one = new byte[1];
                    return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
                }

                @Override
                public int read(byte[] b, int from, int count) throws IOException {
                    if (!over && left == 0) {
                        if (inChunks) {
                            chunkEnd();
                        }
                        inChunks = true;
                        left = chunk();
                        over = left == 0;
                        total += left;
                        if (total > most) {
                            throw new Bad(413, "body too large");
                        }
                    }
                    if (over || count == 0) {
                        return over ? -1 : 0;
                    }
                    if (pos == end) {
                        more("body");
                    }
                    int n = Math.min(Math.min(count, left), end - pos);
                    System.arraycopy(buf, pos, b, from, n);
                    pos += n;
                    left -= n;
                    over = left == 0 && length > 0;
                    return n;
                }
            };
        }

        /** One line of a streamed chunked body after another, until the last chunk. */
        public void lines(Head h, Events to) throws IOException, InterruptedException {
            lines(h, to, 4 * MOST_BODY);
        }

        /** The same with the longest line that is read (bytes). A line that the body's end cuts off is none.
         *  */
        public void lines(Head h, Events to, int most) throws IOException, InterruptedException {
            if (framing(h) >= 0) {
                to.event(body(h));
                return;
            }
            Output line = new Output();
            for (int chunk = chunk(); chunk > 0; chunk = chunk()) {
                for (int left = chunk; left > 0; left--) {
                    if (pos == end) {
                        more("chunk");
                    }
                    byte b = buf[pos++];
                    if (b == '\n') {
                        to.event(line.take());
                    } else if (line.length() >= most) {
                        throw new Bad(502, "line too large");
                    } else {
                        line.put(b);
                    }
                }
                chunkEnd();
            }
        }
    }

    static boolean token(String s) {
        for (int i = 0; i < s.length(); i++) {
            char c = s.charAt(i);
            if (!((c >= 'a' && c <= 'z')
                    || (c >= 'A' && c <= 'Z')
                    || (c >= '0' && c <= '9')
                    || "!#$%&'*+-.^_`|~".indexOf(c) >= 0)) {
                return false;
            }
        }
        return !s.isEmpty();
    }

    public static boolean digits(String s) {
        return !s.isEmpty() && s.chars().allMatch(c -> c >= '0' && c <= '9');
    }

    /** Bytes being put together: a message, or several that leave in one write. */
    public static final class Output {
        private static final int SLICE = 32 * 1024;
        private byte[] buf = new byte[512];
        private int n;

        public int length() {
            return n;
        }

        private void room(int more) {
            if (n + more > buf.length) {
                buf = Arrays.copyOf(buf, Math.max(buf.length * 2, n + more));
            }
        }

        public void put(int b) {
            room(1);
            buf[n++] = (byte) b;
        }

        public Output bytes(byte[] b, int from, int count) {
            room(count);
            System.arraycopy(b, from, buf, n, count);
            n += count;
            return this;
        }

        public Output bytes(byte[] b) {
            return bytes(b, 0, b.length);
        }

        public Output text(String s) {
            return bytes(s.getBytes(StandardCharsets.UTF_8));
        }

        /** One chunk of a chunked body; nothing for no bytes, which would end it. */
        public Output chunk(byte[] b) {
            return b.length == 0
                    ? this
                    : text(Integer.toHexString(b.length)).text("\r\n").bytes(b).text("\r\n");
        }

        public Output lastChunk() {
            return text("0\r\n\r\n");
        }

        private boolean endsBlank() {
            return (n >= 2 && buf[n - 2] == '\n') || (n >= 4 && buf[n - 2] == '\r' && buf[n - 3] == '\n');
        }

        /** The bytes; what follows starts anew. */
        public byte[] take() {
            byte[] b = Arrays.copyOf(buf, n);
            n = 0;
            return b;
        }

        /** Writes all in one call and starts anew. */
        public void flush(java.io.OutputStream to) throws IOException {
            to.write(buf, 0, n);
            n = 0;
        }

        /** Writes all and starts anew; in one call, unless it is large: then a peer that takes it slowly is
         *  seen to move, by {@code moved} after each part. */
        public void flush(java.io.OutputStream to, Runnable moved) throws IOException {
            for (int from = 0; from < n; from += SLICE) {
                if (from > 0) {
                    moved.run();
                }
                to.write(buf, from, Math.min(SLICE, n - from));
            }
            n = 0;
        }
    }

    /** A whole answer with a body. */
    public static void answer(Output out, int status, String type, byte[] body, boolean close, String... more) {
        out.text("HTTP/1.1 " + status + " " + reason(status) + "\r\n");
        out.text("Content-Type: " + type + "\r\nContent-Length: " + body.length + "\r\n");
        for (int i = 0; i + 1 < more.length; i += 2) {
            out.text(more[i] + ": " + more[i + 1] + "\r\n");
        }
        out.text(close ? "Connection: close\r\n\r\n" : "\r\n").bytes(body);
    }

    /** An answer that says why there is no other, and when to come back if that is known. */
    public static void error(Output out, int status, String json, long retryAfter, boolean close) {
        String[] more = retryAfter > 0 ? new String[] {"Retry-After", seconds(retryAfter)} : new String[0];
        answer(out, status, "application/json", json.getBytes(StandardCharsets.UTF_8), close, more);
    }

    /** Whole and thousandth seconds for {@code Retry-After}, never zero. */
    private static String seconds(long micros) {
        long ms = Math.max(1, (micros + 999) / 1000);
        return ms / 1000 + "." + String.format(Locale.ROOT, "%03d", ms % 1000);
    }

    /** The head of an answer that is a stream of events. */
    public static void streamHead(Output out, boolean close) {
        out.text("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n"
                + "Transfer-Encoding: chunked\r\n" + (close ? "Connection: close\r\n\r\n" : "\r\n"));
    }

    private static String reason(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 408 -> "Request Timeout";
            case 413 -> "Content Too Large";
            case 429 -> "Too Many Requests";
            case 431 -> "Request Header Fields Too Large";
            case 500 -> "Internal Server Error";
            case 502 -> "Bad Gateway";
            case 503 -> "Service Unavailable";
            case 504 -> "Gateway Timeout";
            case 529 -> "Overloaded";
            default -> "Status";
        };
    }
}
