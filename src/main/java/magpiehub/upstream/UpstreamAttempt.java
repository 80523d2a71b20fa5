package magpiehub.upstream;

import java.net.Socket;
import magpiehub.dispatch.Attempt;
import magpiehub.dispatch.AttemptHandle;
import magpiehub.http.Sockets;

/**
 * An attempt on its connection, and the dispatcher's handle to control it. The dispatcher's thread starts forwarding
 * and aborts while the connection's actor attaches the socket; the monitor makes the two atomic, so that a socket is
 * either closed by {@link #abort} or never used for an aborted attempt.
 */
final class UpstreamAttempt implements AttemptHandle {
    private final Attempt attempt;
    /** Set on the dispatcher's thread before the attempt is returned; null if no connection was available. */
    private UpstreamConnection connection;
    /** The socket in use, or null. Guarded by this. */
    private Socket socket;
    /** Guarded by this. */
    private boolean aborted;

    UpstreamAttempt(Attempt attempt) {
        this.attempt = attempt;
    }

    /** The dispatcher's attempt. */
    Attempt attempt() {
        return attempt;
    }

    /** The request to send; null once the request is over or its client has disconnected. Thread-safe. */
    Object payload() {
        return attempt.payload();
    }

    /** The time at which the attempt times out unless its stream has started. */
    long deadlineMicros() {
        return attempt.deadlineMicros();
    }

    /** The time from which the request must no longer be written. */
    long writeDeadlineMicros() {
        return attempt.writeDeadlineMicros();
    }

    /** Records that the request has been written completely. */
    void markWritten() {
        attempt.markWritten();
    }

    /** Sets the connection for the attempt. Called on the dispatcher's thread, before the attempt is started. */
    void assignTo(UpstreamConnection assignedConnection) {
        connection = assignedConnection;
    }

    @Override
    public void startForwarding() {
        connection.post(new ConnectionMessage.ForwardingStarted(this));
    }

    @Override
    public void abort() {
        synchronized (this) {
            aborted = true;
            if (socket != null) {
                Sockets.closeQuietly(socket);
            }
        }
        if (connection != null) {
            connection.post(new ConnectionMessage.AttemptAborted(this));
        }
    }

    /** Whether the dispatcher has aborted the attempt. */
    synchronized boolean isAborted() {
        return aborted;
    }

    /**
     * Attaches the socket that {@link #abort} is to close.
     *
     * @return false if the attempt was aborted and nothing may be written for it
     */
    synchronized boolean attachSocket(Socket newSocket) {
        if (aborted) {
            return false;
        }
        socket = newSocket;
        return true;
    }

    /**
     * Detaches the socket, so that {@link #abort} no longer closes it.
     *
     * @return false if the attempt was aborted
     */
    boolean detachSocket() {
        return attachSocket(null);
    }
}
