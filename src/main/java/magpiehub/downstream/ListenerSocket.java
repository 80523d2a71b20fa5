package magpiehub.downstream;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;

/**
 * A listening socket for clients: one that this process has bound, or one that the service manager holds and that an
 * older and a newer process share. A shared socket itself is never closed by this process: connections that this
 * process has not accepted stay in its queue for the next one.
 *
 * <p><b>Threads.</b> {@link #accept} is called by one thread, all other methods by any.
 */
public abstract class ListenerSocket {
    /** The maximum length of the accept queue. */
    private static final int BACKLOG = 512;

    /** Waits for the next client; throws an exception once this is closed. */
    abstract Socket accept() throws IOException;

    /** Whether {@link #close} has been called. */
    abstract boolean isClosed();

    /** Stops accepting, and wakes a thread that waits in {@link #accept}. */
    abstract void close() throws IOException;

    /** The port that the socket is bound to. */
    abstract int port();

    /** Whether connections that this process does not accept are left to the next process. */
    abstract boolean isShared();

    /** Binds a socket of this process's own. */
    public static ListenerSocket bind(InetSocketAddress listen) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(listen, BACKLOG);
        return new OwnListenerSocket(server);
    }

    /** Returns the listening socket that this process was started with as descriptor 0. */
    public static ListenerSocket inherited() throws IOException {
        Channel channel;
        try {
            channel = System.inheritedChannel();
        } catch (IOException | RuntimeException e) {
            throw new IOException("can't use descriptor 0 as the listening socket: " + e.getMessage());
        }
        if (!(channel instanceof ServerSocketChannel serverChannel)) {
            throw new IOException("descriptor 0 is not a listening socket");
        }
        if (!(serverChannel.getLocalAddress() instanceof InetSocketAddress)) {
            throw new IOException("descriptor 0 is not a listening TCP socket");
        }
        return new InheritedListenerSocket(serverChannel);
    }
}
