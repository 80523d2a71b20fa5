package magpiehub.http;

import java.io.IOException;
import java.net.Socket;

/** Operations on sockets that are used by several packages. */
public final class Sockets {
    private Sockets() {}

    /** Closes a socket. A failure to close is ignored: nothing more can be done with the socket. */
    public static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // The socket is unusable either way.
        }
    }
}
