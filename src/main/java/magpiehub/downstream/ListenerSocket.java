package magpiehub.downstream;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;

/**
 * A listening socket for clients: one of this process's own, or one that the service manager holds and that an older
 * and a newer process share. A shared socket itself is never closed here: connections that this process has not
 * accepted stay there for the next one.
 *
 * <p><b>Threads.</b> {@link #accept} is for one thread, all else for any.
 */
public abstract class ListenerSocket {
    /** Connections that wait to be accepted at most. */
    private static final int BACKLOG = 512;

    /** Waits for the next client; throws once this is closed. */
    abstract Socket accept() throws IOException;

    /** Whether {@link #close} has been called. */
    abstract boolean isClosed();

    /** Accepts no more; a thread that waits in {@link #accept} is woken. */
    abstract void close() throws IOException;

    /** The port that the socket is bound to. */
    abstract int port();

    /** Whether the connections that this process does not accept are left to the next one. */
    abstract boolean isShared();

    /** A socket of this process's own. */
    public static ListenerSocket bind(InetSocketAddress listen) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(listen, BACKLOG);
        return new OwnListenerSocket(server);
    }

    /** The listening socket that this process was started with as its descriptor 0. */
    public static ListenerSocket inherited() throws IOException {
        Channel channel;
        try {
            channel = System.inheritedChannel();
        } catch (IOException | RuntimeException e) {
            throw new IOException("descriptor 0 can't be used: " + e.getMessage());
        }
        if (!(channel instanceof ServerSocketChannel serverChannel)) {
            throw new IOException("descriptor 0 is no listening socket");
        }
        if (!(serverChannel.getLocalAddress() instanceof InetSocketAddress)) {
            throw new IOException("descriptor 0 is no listening TCP socket");
        }
        return new InheritedListenerSocket(serverChannel);
    }
}
