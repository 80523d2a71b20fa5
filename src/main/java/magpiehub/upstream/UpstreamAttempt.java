package magpiehub.upstream;

import java.net.Socket;
import magpiehub.dispatch.Attempt;
import magpiehub.dispatch.AttemptHandle;
import magpiehub.http.Sockets;

/**
 * An attempt on the connection that carries it out, and the dispatcher's control over it. The dispatcher's thread
 * grants and aborts, the connection's actor attaches the socket; the monitor orders the two, so that a socket is
 * either closed by {@link #abort} or never used for an attempt that was aborted.
 */
final class UpstreamAttempt implements AttemptHandle {
    private final Attempt attempt;
    /** Set on the dispatcher's thread before the attempt is handed out; null if no connection could be had. */
    private UpstreamConnection connection;
    /** The socket in use, or null. Guarded by this. */
    private Socket socket;
    /** Guarded by this. */
    private boolean aborted;

    UpstreamAttempt(Attempt attempt) {
        this.attempt = attempt;
    }

    /** The attempt as the dispatcher knows it. */
    Attempt attempt() {
        return attempt;
    }

    /** What is to be sent; null once the request is over or its client has gone. Any thread. */
    Object payload() {
        return attempt.payload();
    }

    /** When the attempt times out, if its stream has not started. */
    long deadlineMicros() {
        return attempt.deadlineMicros();
    }

    /** Names the connection that carries out the attempt. Dispatcher's thread, before the attempt is started. */
    void assignTo(UpstreamConnection assignedConnection) {
        connection = assignedConnection;
    }

    @Override
    public void startForwarding() {
        connection.post(new ConnectionMessage.StreamGranted(this));
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
     * Attaches the socket that {@link #abort} has to close.
     *
     * @return false if the attempt was aborted; nothing may be written for it then
     */
    synchronized boolean attachSocket(Socket newSocket) {
        if (aborted) {
            return false;
        }
        socket = newSocket;
        return true;
    }

    /**
     * Detaches the socket, which this attempt no longer uses.
     *
     * @return false if the attempt was aborted
     */
    boolean detachSocket() {
        return attachSocket(null);
    }
}
