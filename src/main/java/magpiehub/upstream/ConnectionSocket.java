package magpiehub.upstream;

import java.io.IOException;
import java.net.Socket;
import magpiehub.http.Sockets;

/**
 * The current socket of a connection, if it has one. Belongs to the connection's actor; the socket itself is also read
 * by its {@link ResponseReader} and closed by {@link UpstreamAttempt#abort}.
 */
final class ConnectionSocket {
    /** The current socket, or null. */
    private Socket socket;
    /** The address that the last socket was opened to. */
    private String hostPort;

    private boolean connecting;

    boolean isOpen() {
        return socket != null;
    }

    /** Whether it is this socket; what comes from another one is stale. */
    boolean isCurrent(Socket other) {
        return socket == other;
    }

    /** Whether the last socket was not connected so far. */
    boolean isConnecting() {
        return connecting;
    }

    /** The current socket, or null. */
    Socket get() {
        return socket;
    }

    /** The address that the last socket was opened to. */
    String hostPort() {
        return hostPort;
    }

    /** Makes a socket the current one, which is about to be connected to an address. */
    void replace(Socket newSocket, String newHostPort) {
        socket = newSocket;
        hostPort = newHostPort;
        connecting = true;
    }

    void markConnected() {
        connecting = false;
    }

    /** Writes to the current socket; blocks while the upstream takes no bytes. */
    void write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    /** Closes the current socket, if there is one. */
    void close() {
        if (socket != null) {
            Sockets.closeQuietly(socket);
            socket = null;
        }
    }
}
