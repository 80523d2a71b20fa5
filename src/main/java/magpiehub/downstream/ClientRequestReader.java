package magpiehub.downstream;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import magpiehub.http.BodyFraming;
import magpiehub.http.HttpException;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpReader;

/**
 * The reading side of one connection: parses requests and posts them to the connection's actor. {@link #run} occupies a
 * thread from the connection's first byte, or its start, until the client's input ends.
 */
final class ClientRequestReader {
    /** The time limit for a request, counted from its first byte. */
    private static final long REQUEST_TIMEOUT_MICROS = 6_000_000;
    /** The longest pause between two reads of a request. */
    private static final int READ_TIMEOUT_MILLIS = 3_000;

    private static final int NO_TIMEOUT = 0;
    private static final int UNAVAILABLE = 503;
    private static final int REQUEST_TIMED_OUT = 408;

    private static final int DISCARD_BUFFER_BYTES = 16 * 1024;
    /** After so many discarded bytes the reader pauses, as a guard against clients that never stop sending. */
    private static final int DISCARD_BYTES_BETWEEN_PAUSES = 1 << 20;
    /** The same while no request is in progress that would have to be cancelled once the client has gone. */
    private static final int IDLE_DISCARD_BYTES_BETWEEN_PAUSES = DISCARD_BUFFER_BYTES;

    private static final long DISCARD_PAUSE_MILLIS = 1;

    private final ClientConnection connection;
    private final Socket socket;
    private final ListenerServices services;

    ClientRequestReader(ClientConnection connection, Socket socket, ListenerServices services) {
        this.connection = connection;
        this.socket = socket;
        this.services = services;
    }

    /** Reads until the client's input ends or the connection is closed, and posts which of the two happened. */
    void run() {
        boolean halfClosed = false;
        try {
            halfClosed = readRequests() && supportsHalfClose();
        } catch (HttpException e) {
            connection.post(new ClientMessage.MalformedRequest(e.status(), e.getMessage()), 0);
            discardInput();
        } catch (SocketTimeoutException e) {
            connection.post(new ClientMessage.MalformedRequest(REQUEST_TIMED_OUT, "request incomplete"), 0);
            discardInput();
        } catch (IOException | InterruptedException e) {
            // The client has disconnected; it can't be answered.
        } catch (RuntimeException | OutOfMemoryError e) {
            services.eventLog().count("reader_exceptions");
            services.eventLog().log("reader-exception", "error", e.toString());
        } finally {
            if (halfClosed) {
                connection.postControl(new ClientMessage.InputHalfClosed());
            } else {
                connection.onInputEnded();
            }
        }
    }

    /** Whether a client that has closed its sending side is assumed to be still reading. */
    private boolean supportsHalfClose() {
        return services.streams().limits().halfClose() && services.protocol().hasKeepAlive();
    }

    /**
     * Reads requests and posts them. Returns true at the end of the input, false if the client was disconnected because
     * the mailbox was full.
     */
    private boolean readRequests() throws IOException, InterruptedException {
        HttpReader in = new HttpReader(socket.getInputStream(), services.clock());
        in.setMessageTimeoutMicros(REQUEST_TIMEOUT_MICROS);
        while (in.awaitMessage()) {
            connection.setReceiving(true);
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            if (!readRequest(in)) {
                connection.disconnectAfterOverflow();
                return false;
            }
            if (connection.ignoresInput()) {
                discardInput();
            }
        }
        return true;
    }

    /** Reads a request and posts it; returns false if the mailbox did not accept it. */
    private boolean readRequest(HttpReader in) throws IOException, InterruptedException {
        HttpHead head = in.readRequestHead();
        int bodyBytes = BodyFraming.maxBodyBytes(head);
        if (!services.bodyBudget().tryReserve(bodyBytes)) {
            services.eventLog().count("requests_shed");
            throw new HttpException(UNAVAILABLE, "no room");
        }
        boolean posted = false;
        try {
            byte[] body = in.readBody(head);
            socket.setSoTimeout(NO_TIMEOUT);
            posted = connection.postRequest(
                    new ClientMessage.RequestReceived(head, body, in.messageStartMicros(), bodyBytes));
            connection.setReceiving(false);
        } finally {
            if (!posted) {
                services.bodyBudget().release(bodyBytes);
            }
        }
        return posted;
    }

    /**
     * Discards the input that will not be answered, until the client or the actor closes the connection: closing a
     * socket with unread input would reset the connection, and the response would not arrive. The end of the input
     * shows that the client has gone, but only after all that it has sent before.
     */
    private void discardInput() {
        try {
            socket.setSoTimeout(NO_TIMEOUT);
            byte[] buffer = new byte[DISCARD_BUFFER_BYTES];
            int discarded = 0;
            for (int count = 0; count >= 0; count = socket.getInputStream().read(buffer)) {
                discarded += count;
                if (discarded >= maxDiscardedBetweenPauses()) {
                    discarded = 0;
                    Thread.sleep(DISCARD_PAUSE_MILLIS);
                }
            }
        } catch (IOException | InterruptedException e) {
            // The connection is being closed anyway.
        }
    }

    private int maxDiscardedBetweenPauses() {
        boolean requestInProgress = connection.idleSinceMicros() == EvictionCandidate.BUSY;
        return requestInProgress ? DISCARD_BYTES_BETWEEN_PAUSES : IDLE_DISCARD_BYTES_BETWEEN_PAUSES;
    }
}
