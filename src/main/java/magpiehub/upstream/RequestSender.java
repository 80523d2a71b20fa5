package magpiehub.upstream;

import java.io.IOException;
import java.net.Socket;
import magpiehub.concurrent.CachedThreadPool;
import magpiehub.protocol.ProtocolExchange;
import magpiehub.routing.AttemptOutcome;

/**
 * Sends the request of a connection's attempt, opening a socket if there is none. Immediately before it writes, it
 * checks that the endpoint still accepts requests, that the client is still connected and that the request may still be
 * written. Confined to the connection's actor.
 */
final class RequestSender {
    private final UpstreamConnection connection;
    private final String endpointId;
    private final UpstreamContext context;
    private final ConnectionSocket socket;
    private final AttemptExecution execution;
    private final ConnectionLog log;
    private final CachedThreadPool readers;

    RequestSender(
            UpstreamConnection connection,
            UpstreamContext context,
            ConnectionSocket socket,
            AttemptExecution execution,
            ConnectionLog log,
            CachedThreadPool readers) {
        this.connection = connection;
        this.endpointId = connection.endpointId();
        this.context = context;
        this.socket = socket;
        this.execution = execution;
        this.log = log;
        this.readers = readers;
    }

    /** Sends the request of the new attempt, on the current socket or a new one. */
    void send() {
        if (!(execution.attempt().payload() instanceof ProtocolExchange exchange)) {
            execution.endBeforeStream(AttemptOutcome.CANCELLED);
            return;
        }
        execution.response().setStreamListener(exchange.streamListener());
        if (socket.isOpen() && (hasEndpointMoved() || !isQuiet())) {
            socket.close();
        }
        if (!socket.isOpen()) {
            openSocket();
        } else if (execution.attempt().attachSocket(socket.get())) {
            writeRequest();
        } else {
            socket.close();
            execution.release(false);
        }
    }

    private boolean hasEndpointMoved() {
        UpstreamEndpoint endpoint = context.endpoints().find(endpointId);
        return endpoint != null && !socket.hostPort().equals(endpoint.hostPort());
    }

    /** Whether nothing has arrived behind the last response, which would pass for the response to the next request. */
    private boolean isQuiet() {
        if (socket.hasUnreadBytes()) {
            log.unexpectedBytes();
            return false;
        }
        return connection.progress().isQuiet();
    }

    /**
     * Returns the endpoint if it still accepts requests; the endpoint list may have changed since the routing decision.
     * Otherwise ends the attempt and returns null.
     */
    private UpstreamEndpoint usableEndpoint() {
        UpstreamEndpoint endpoint =
                context.endpoints().findUsable(endpointId, context.clock().micros());
        if (endpoint != null) {
            return endpoint;
        }
        log.drainedBeforeWrite();
        execution.endBeforeStream(AttemptOutcome.CONNECT_FAILED);
        return null;
    }

    private void openSocket() {
        UpstreamEndpoint endpoint = usableEndpoint();
        if (endpoint == null) {
            return;
        }
        Socket newSocket = new Socket();
        if (!execution.attempt().attachSocket(newSocket)) {
            execution.release(false);
            return;
        }
        socket.replace(newSocket, endpoint.hostPort());
        SocketProgress progress = connection.recordNewSocket();
        log.connecting();
        readers.execute(new ResponseReader(context, connection, newSocket, progress, socket.hostPort()));
    }

    /** Writes the request, unless the endpoint is draining, the client has disconnected or it is too late. */
    void writeRequest() {
        if (usableEndpoint() == null) {
            return;
        }
        if (hasEndpointMoved()) {
            // Another process may have come up at the address while the connection was being opened.
            socket.close();
            openSocket();
            return;
        }
        if (context.clock().micros() >= execution.attempt().writeDeadlineMicros()) {
            execution.endBeforeStream(AttemptOutcome.MOOT);
            return;
        }
        if (!(execution.attempt().payload() instanceof ProtocolExchange exchange)) {
            execution.endBeforeStream(AttemptOutcome.CANCELLED);
            return;
        }
        boolean reused = connection.progress().requestsWritten() > 0;
        try {
            // Recomputed after connecting, which may take long: the upstream is told the time that is left now.
            long timeLeftMicros =
                    execution.attempt().deadlineMicros() - context.clock().micros();
            byte[] request = UpstreamRequest.encode(exchange, socket.hostPort(), timeLeftMicros);
            connection.recordRequest(execution.response().streamListener().flow());
            socket.write(request);
            execution.attempt().markWritten();
        } catch (IOException e) {
            writeFailed(reused, e);
        }
    }

    private void writeFailed(boolean reused, IOException failure) {
        socket.close();
        if (!execution.attempt().detachSocket()) {
            execution.release(false);
        } else if (reused) {
            // The upstream closed the idle connection, so the request was not executed and can be sent again.
            log.staleConnection();
            openSocket();
        } else {
            execution.connectFailed(failure.toString());
        }
    }
}
