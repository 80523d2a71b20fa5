package magpiehub.downstream;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.Channel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * Where clients connect: a socket of this process's own, or one that the platform holds and that an older and
 * a newer process share. It owns the socket. It must never take a connection once it is closed, nor close
 * what belongs to the platform: connections that nobody has taken stay there for the next process.
 */
public abstract class ListenerSocket {
    /** Connections that wait to be accepted at most. */
    private static final int BACKLOG = 512;

    /** Waits for the next client; an exception once the door is closed. */
    abstract Socket accept() throws IOException;

    abstract boolean isClosed();

    abstract void close() throws IOException;

    abstract int port();

    /** Whether the connections that this process leaves are taken by the next one. */
    abstract boolean isShared();

    /** A socket of this process's own. */
    public static ListenerSocket bind(InetSocketAddress listen) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(listen, BACKLOG);
        return new Own(server);
    }

    /** The listening socket that this process was started with as its descriptor 0. */
    public static ListenerSocket inherited() throws IOException {
        Channel c;
        try {
            c = System.inheritedChannel();
        } catch (IOException | RuntimeException e) {
            throw new IOException("descriptor 0 can't be used: " + e.getMessage());
        }
        if (!(c instanceof ServerSocketChannel s)) {
            throw new IOException("descriptor 0 is no listening socket");
        }
        if (!(s.getLocalAddress() instanceof InetSocketAddress)) {
            throw new IOException("descriptor 0 is no listening TCP socket");
        }
        return new Inherited(s);
    }

    private static final class Own extends ListenerSocket {
        private final ServerSocket server;

        Own(ServerSocket server) {
            this.server = server;
        }

        @Override
        Socket accept() throws IOException {
            return server.accept();
        }

        @Override
        boolean isClosed() {
            return server.isClosed();
        }

        @Override
        void close() throws IOException {
            server.close();
        }

        @Override
        int port() {
            return server.getLocalPort();
        }

        @Override
        boolean isShared() {
            return false;
        }
    }

    /** Never blocks in accept: whether it may is a property of the one socket that both processes use, and of
     *  two that wait for one client, the loser would wait on inside the call, for one client too many. */
    private static final class Inherited extends ListenerSocket {
        private final ServerSocketChannel server;
        private final Selector selector = Selector.open();
        private volatile boolean closed;

        Inherited(ServerSocketChannel server) throws IOException {
            this.server = server;
            server.configureBlocking(false);
            server.register(selector, SelectionKey.OP_ACCEPT);
        }

        @Override
        Socket accept() throws IOException {
            while (!closed) {
                SocketChannel c = server.accept();
                if (c != null) {
                    return c.socket();
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

        /** The channel stays open: closing it would also put the standard streams to nowhere. */
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
}
