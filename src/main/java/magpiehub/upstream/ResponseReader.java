package magpiehub.upstream;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import magpiehub.config.HostPort;
import magpiehub.http.EventHandler;
import magpiehub.http.HttpException;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpReader;
import magpiehub.streaming.FlowController;
import magpiehub.streaming.StreamFlow;

/**
 * Connects one socket and reads responses from it until it is closed, on a blocking thread. It only posts what it reads
 * to the connection; it makes no decisions and never writes to or closes the socket. The last message that it posts is
 * {@link ConnectionMessage.ConnectionLost}.
 *
 * <p>A faulty upstream may send more bytes some milliseconds after a complete response. They must not pass for the
 * response to the next request. The time that has passed since the response does not show that there are none, since
 * this thread need not have run in the meantime: the whole process may have been stopped. Therefore the reader itself
 * waits for the {@linkplain #QUIET_PERIOD_MICROS quiet period}, then looks for bytes or an end of the input that it has
 * not read, and records that there are none; no request is written on the socket before that.
 */
final class ResponseReader implements Runnable {
    /** The time after a response within which a faulty upstream's further bytes arrive. */
    static final long QUIET_PERIOD_MICROS = 20_000;

    /** With fewer bytes within the time for which a stream may be silent, its upstream makes no progress. */
    private static final int MIN_PROGRESS_BYTES = 16;

    /** The shortest wait for input that a socket allows. */
    private static final int INPUT_CHECK_MILLIS = 1;

    /** Time limit for reading a response head, from its first byte, which the upstream sends with the first token. */
    private static final long HEAD_TIMEOUT_MICROS = 1_000_000;

    private static final int HEAD_TIMEOUT_MILLIS = (int) (HEAD_TIMEOUT_MICROS / 1000);
    /** Maximum number of informational (1xx) responses before the final one. */
    private static final int MAX_INFORMATIONAL_RESPONSES = 8;

    private static final int STATUS_OK = 200;
    private static final int STATUS_BAD_GATEWAY = 502;

    private final UpstreamContext context;
    private final UpstreamConnection connection;
    private final Socket socket;
    private final SocketProgress progress;
    private final String hostPort;

    ResponseReader(
            UpstreamContext context,
            UpstreamConnection connection,
            Socket socket,
            SocketProgress progress,
            String hostPort) {
        this.context = context;
        this.connection = connection;
        this.socket = socket;
        this.progress = progress;
        this.hostPort = hostPort;
    }

    @Override
    public void run() {
        try {
            ConnectionMessage.ConnectionLost end = readToEnd();
            progress.recordActivity();
            connection.post(end);
        } finally {
            progress.recordInputPosted();
        }
    }

    /** Connects, and reads until the connection is lost; returns the message that reports how. */
    private ConnectionMessage.ConnectionLost readToEnd() {
        String reason = "ended";
        boolean malformed = false;
        try {
            connect();
            readResponses();
        } catch (HttpException | SocketTimeoutException e) {
            // Includes connect timeouts; the connection tells them apart by its own state.
            reason = e.getMessage();
            malformed = true;
        } catch (IOException | InterruptedException | RuntimeException | OutOfMemoryError e) {
            reason = e.toString();
        }
        return new ConnectionMessage.ConnectionLost(socket, reason, malformed);
    }

    private void connect() throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(HostPort.toSocketAddress(hostPort), context.settings().connectTimeoutMillis());
        connection.post(new ConnectionMessage.Connected(socket));
    }

    private void readResponses() throws IOException, InterruptedException {
        HttpReader input = new HttpReader(new RecordedInputStream(socket.getInputStream(), progress), context.clock());
        for (int responses = 1; input.awaitMessage(); responses++) {
            progress.recordActivity();
            if (responses > progress.requestsWritten()) {
                throw new HttpException(STATUS_BAD_GATEWAY, "unexpected bytes after the response");
            }
            readResponse(input);
        }
    }

    private void readResponse(HttpReader input) throws IOException, InterruptedException {
        HttpHead head = readHead(input);
        ConnectionMessage end = head.status() == STATUS_OK ? readStream(input, head) : readErrorResponse(input, head);
        long completedMicros = context.clock().micros();
        connection.post(end);
        if (isReusable(input, head)) {
            awaitQuietPeriod(input, completedMicros + QUIET_PERIOD_MICROS);
        }
    }

    /** Waits for the end of the quiet period after a response, and records whether nothing has arrived by then. */
    private void awaitQuietPeriod(HttpReader input, long endMicros) throws IOException, InterruptedException {
        context.clock().sleepUntil(endMicros);
        if (!hasInput(input)) {
            progress.recordQuietPeriod();
            context.eventLog().count("engine_connections_quiet");
        }
    }

    /** Whether bytes or the end of the input have arrived; an end does not show in the number of available bytes. */
    private boolean hasInput(HttpReader input) throws IOException {
        socket.setSoTimeout(INPUT_CHECK_MILLIS);
        try {
            input.awaitMessage();
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        } finally {
            socket.setSoTimeout(0);
        }
    }

    /** Reads a response head within a time limit; an endless head would block the request until its deadline. */
    private HttpHead readHead(HttpReader input) throws IOException {
        socket.setSoTimeout(HEAD_TIMEOUT_MILLIS);
        input.setMessageTimeoutMicros(HEAD_TIMEOUT_MICROS);
        HttpHead head = input.readResponseHead();
        for (int informational = 0; isInformational(head); informational++) {
            if (informational == MAX_INFORMATIONAL_RESPONSES) {
                throw new HttpException(
                        STATUS_BAD_GATEWAY, "more than " + MAX_INFORMATIONAL_RESPONSES + " informational responses");
            }
            head = input.readResponseHead();
        }
        socket.setSoTimeout(0);
        input.setMessageTimeoutMicros(Long.MAX_VALUE);
        return head;
    }

    private static boolean isInformational(HttpHead head) {
        return head.status() / 100 == 1;
    }

    /** Reads a stream and posts its events; returns the message that ends it. */
    private ConnectionMessage readStream(HttpReader input, HttpHead head) throws IOException, InterruptedException {
        input.readEvents(head, new StreamReader());
        return new ConnectionMessage.StreamCompleted(
                socket, isReusable(input, head), !input.isBufferEmpty(), loadReport(head));
    }

    /** Posts the events of one stream, and records the progress within an event that the upstream writes slowly. */
    private final class StreamReader implements EventHandler {
        private int unrecordedBytes;

        @Override
        public void onEvent(byte[] event) throws IOException, InterruptedException {
            unrecordedBytes = 0;
            postEvent(event);
        }

        @Override
        public void onPartialEvent(int count) {
            unrecordedBytes += count;
            if (unrecordedBytes >= MIN_PROGRESS_BYTES) {
                unrecordedBytes = 0;
                progress.recordEventProgress(context.clock().micros());
            }
        }
    }

    /** Posts an event; blocks while the mailbox is full, so that no event of a fast upstream is lost. */
    private void postEvent(byte[] event) throws IOException, InterruptedException {
        FlowController streams = context.streams();
        StreamFlow flow = connection.flow();
        streams.reserveCapacity(flow, event.length);
        if (!connection.postBlocking(new ConnectionMessage.EventReceived(socket, event, flow), event.length)) {
            streams.discard(flow, event.length);
            throw new IOException("connection is closed");
        }
    }

    /** Reads the body of a response that is not a stream; returns the message that ends it. */
    private ConnectionMessage readErrorResponse(HttpReader input, HttpHead head) throws IOException {
        input.readBody(head);
        return new ConnectionMessage.ErrorResponse(
                socket,
                head.status(),
                "1".equals(head.headers().get("X-Rejected")),
                isReusable(input, head),
                loadReport(head));
    }

    /** Whether the connection may be reused: the upstream keeps it open, and no bytes follow the response. */
    private static boolean isReusable(HttpReader input, HttpHead head) {
        return !head.closesConnection() && input.isBufferEmpty();
    }

    private String loadReport(HttpHead head) {
        return context.settings().loadReports().isInResponses() ? head.headers().get(LoadReportParser.HEADER) : null;
    }
}
