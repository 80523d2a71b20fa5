package magpiehub.upstream;

import java.io.IOException;
import java.net.Socket;
import magpiehub.concurrent.CachedThreadPool;
import magpiehub.protocol.ProtocolExchange;
import magpiehub.routing.AttemptOutcome;

/**
 * Sends the request of a connection's attempt, after opening a socket if there is none. Right before a request is
 * written it asks whether the endpoint still accepts requests and whether the client is still there. Belongs to the
 * connection's actor.
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

    /** Sends the request of the attempt that has just begun, on the current socket or a new one. */
    void send() {
        if (!(execution.attempt().payload() instanceof ProtocolExchange call)) {
            execution.endBeforeStream(AttemptOutcome.CANCELLED);
            return;
        }
        execution.response().setSink(call.streamListener());
        if (socket.isOpen() && hasEndpointMoved()) {
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

    /**
     * Returns the endpoint if it still accepts requests, since the list may have changed after the dispatcher's
     * decision. Returns null after having ended the attempt if it does not.
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
        connection.recordNewSocket();
        log.connecting();
        readers.execute(new ResponseReader(context, connection, newSocket, socket.hostPort()));
    }

    /** Writes the request, unless the endpoint drains or the client has gone by now. */
    void writeRequest() {
        if (usableEndpoint() == null) {
            return;
        }
        if (!(execution.attempt().payload() instanceof ProtocolExchange call)) {
            execution.endBeforeStream(AttemptOutcome.CANCELLED);
            return;
        }
        boolean reused = connection.requestsWritten() > 0;
        try {
            // Connecting may have taken a while since this turn began: the upstream is told what is left now.
            long timeLeftMicros =
                    execution.attempt().deadlineMicros() - context.clock().micros();
            byte[] request = UpstreamRequest.encode(call, socket.hostPort(), timeLeftMicros);
            connection.recordRequest(execution.response().sink().flow());
            socket.write(request);
        } catch (IOException e) {
            writeFailed(reused, e);
        }
    }

    private void writeFailed(boolean reused, IOException failure) {
        socket.close();
        if (!execution.attempt().detachSocket()) {
            execution.release(false);
        } else if (reused) {
            // The upstream had closed it while it was idle: the request was not executed.
            log.staleConnection();
            openSocket();
        } else {
            execution.connectFailed(failure.toString());
        }
    }
}
