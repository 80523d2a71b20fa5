package magpiehub.downstream;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;

/** A listening socket that this process has bound. */
final class OwnListenerSocket extends ListenerSocket {
    private final ServerSocket server;

    OwnListenerSocket(ServerSocket server) {
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
