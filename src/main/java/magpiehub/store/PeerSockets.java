package magpiehub.store;

import java.io.IOException;
import java.net.Socket;

/** Operations on sockets to and from peers. */
final class PeerSockets {
    private PeerSockets() {}

    /** Closes a socket. A failure to close is ignored: the socket is unusable either way. */
    static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Nothing is left to be done with the socket.
        }
    }
}
