package magpiehub.downstream;

import java.io.IOException;
import java.net.Socket;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * A listening socket shared with an older or a newer process. It never blocks in the system's accept call: whether that
 * call blocks is a property of the one socket that both processes use, and if two processes wait for one client, the
 * loser would stay in the call after {@link #close}, and accept one client too many.
 */
final class InheritedListenerSocket extends ListenerSocket {
    private final ServerSocketChannel server;
    private final Selector selector = Selector.open();
    private volatile boolean closed;

    InheritedListenerSocket(ServerSocketChannel server) throws IOException {
        this.server = server;
        server.configureBlocking(false);
        server.register(selector, SelectionKey.OP_ACCEPT);
    }

    @Override
    Socket accept() throws IOException {
        while (!closed) {
            SocketChannel accepted = server.accept();
            if (accepted != null) {
                return accepted.socket();
            }
            selector.select();
            selector.selectedKeys().clear();
        }
        throw new IOException("closed");
    }

    @Override
    boolean isClosed() {
        return closed;
    }

    /** Leaves the channel open: closing it would also redirect the standard streams to the null device. */
    @Override
    void close() {
        closed = true;
        selector.wakeup();
    }

    @Override
    int port() {
        return server.socket().getLocalPort();
    }

    @Override
    boolean isShared() {
        return true;
    }
}
