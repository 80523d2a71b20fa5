package magpiehub.upstream;

import java.io.IOException;
import java.net.Socket;
import magpiehub.concurrent.ActorThreadPool;
import magpiehub.http.Sockets;

/**
 * The current socket of a connection, if it has one. Confined to the connection's actor; the socket itself is also read
 * by its {@link ResponseReader} and closed by {@link UpstreamAttempt#abort}.
 */
final class ConnectionSocket {
    /** The current socket, or null. */
    private Socket socket;
    /** The remote address of the last socket. */
    private String hostPort;

    private boolean connecting;

    boolean isOpen() {
        return socket != null;
    }

    /** Whether the given socket is the current one; messages from any other socket are stale. */
    boolean isCurrent(Socket other) {
        return socket == other;
    }

    /** Whether the last socket is still to be connected. */
    boolean isConnecting() {
        return connecting;
    }

    /** The current socket, or null. */
    Socket get() {
        return socket;
    }

    /** The remote address of the last socket, as {@code host:port}. */
    String hostPort() {
        return hostPort;
    }

    /** Replaces the current socket with a new one that is about to be connected to the given address. */
    void replace(Socket newSocket, String newHostPort) {
        socket = newSocket;
        hostPort = newHostPort;
        connecting = true;
    }

    void markConnected() {
        connecting = false;
    }

    /** Writes to the current socket; blocks while its send buffer is full. */
    void write(byte[] bytes) throws IOException {
        ActorThreadPool.enterBlockingCall();
        try {
            socket.getOutputStream().write(bytes);
        } finally {
            ActorThreadPool.exitBlockingCall();
        }
    }

    /** Whether bytes have arrived on the current socket that its reader has not taken; true also if it is closed. */
    boolean hasUnreadBytes() {
        try {
            return socket.getInputStream().available() > 0;
        } catch (IOException e) {
            return true;
        }
    }

    /** Closes the current socket, if any. */
    void close() {
        if (socket != null) {
            Sockets.closeQuietly(socket);
            socket = null;
        }
    }
}
