package magpiehub.upstream;

import magpiehub.concurrent.CachedThreadPool;
import magpiehub.streaming.FlowController;

/**
 * The actor of an {@link UpstreamConnection}: dispatches each message to the component that handles it, ignores
 * messages for a socket or an attempt that is no longer current, and sets the connection's timer.
 *
 * <p><b>Threads.</b> The actor and its components run on the shared thread pool, one turn at a time. The only blocking
 * operation is the write of a request.
 */
final class ConnectionActor implements ConnectionMessage.Handler {
    private final UpstreamConnection connection;
    private final UpstreamContext context;
    private final FlowController streams;
    private final ConnectionTimer timer;
    private final ConnectionLog log;
    private final ConnectionSocket socket = new ConnectionSocket();
    private final AttemptExecution execution;
    private final RequestSender sender;
    private final ResponseHandler responses;
    /** The time at which handling of the current message began. */
    private long nowMicros;

    private boolean removedFromPool;

    ConnectionActor(
            UpstreamConnection connection,
            UpstreamContext context,
            CachedThreadPool readers,
            ConnectionTimer timer,
            UpstreamConnection.Listener listener) {
        this.connection = connection;
        this.context = context;
        this.streams = context.streams();
        this.timer = timer;
        this.log = new ConnectionLog(context.eventLog(), connection.endpointId());
        this.execution = new AttemptExecution(connection, context, socket, log, listener);
        this.sender = new RequestSender(connection, context, socket, execution, log, readers);
        this.responses = new ResponseHandler(connection, context, socket, execution, log);
    }

    /** Handles all pending messages. */
    void runTurn() {
        for (ConnectionMessage message = connection.poll(); message != null; message = connection.poll()) {
            if (!removedFromPool) {
                handle(message);
            } else if (message instanceof ConnectionMessage.EventReceived event) {
                discard(event);
            }
        }
    }

    private void handle(ConnectionMessage message) {
        nowMicros = context.clock().micros();
        try {
            message.deliverTo(this);
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError e) {
            // Only this attempt fails; it is reported to the dispatcher as a lost connection.
            log.failure(e);
            responses.connectionLost(e.toString(), false);
        }
        if (!removedFromPool) {
            connection.wakeAt(nextTimerMicros());
        }
    }

    private long nextTimerMicros() {
        if (execution.isStreamInProgress()) {
            return responses.nextStallCheckMicros(nowMicros);
        }
        if (!execution.isActive() && socket.isOpen()) {
            return execution.idleSinceMicros() + context.settings().maxIdleMicros();
        }
        return UpstreamConnection.NEVER;
    }

    @Override
    public void onTimerDue(ConnectionMessage.TimerDue message) {
        if (nowMicros < connection.timerDueMicros()) {
            return;
        }
        if (!execution.isActive()) {
            execution.closeWhileIdle();
        } else if (execution.isStreamInProgress()
                && nowMicros >= responses.stallDeadlineMicros(nowMicros)
                && !hasUnhandledInput()) {
            responses.streamStalled();
        }
    }

    /**
     * Whether anything has arrived that has not been handled: after a hold-up of the process, the timer may be due
     * before the reader has run. Checked in the order in which input passes, so that none is missed on its way.
     */
    private boolean hasUnhandledInput() {
        return socket.hasUnreadBytes() || connection.progress().isInputPending() || connection.hasMessages();
    }

    @Override
    public void onRemovedFromPool(ConnectionMessage.RemovedFromPool message) {
        removedFromPool = true;
        socket.close();
        connection.closeMailbox();
        timer.remove(connection);
    }

    @Override
    public void onAttemptStarted(ConnectionMessage.AttemptStarted message) {
        execution.begin(message.attempt());
        sender.send();
    }

    @Override
    public void onForwardingStarted(ConnectionMessage.ForwardingStarted message) {
        if (execution.isCurrent(message.attempt())) {
            responses.startForwarding();
        }
    }

    @Override
    public void onAttemptAborted(ConnectionMessage.AttemptAborted message) {
        if (execution.isCurrent(message.attempt())) {
            execution.endAborted();
        }
    }

    @Override
    public void onConnected(ConnectionMessage.Connected message) {
        if (socket.isCurrent(message.socket())) {
            socket.markConnected();
            sender.writeRequest();
        }
    }

    @Override
    public void onErrorResponse(ConnectionMessage.ErrorResponse message) {
        if (socket.isCurrent(message.socket())) {
            responses.errorResponse(message);
        }
    }

    @Override
    public void onEventReceived(ConnectionMessage.EventReceived message) {
        if (!socket.isCurrent(message.socket()) || !responses.acceptEvent(message.bytes(), nowMicros)) {
            discard(message);
        }
    }

    @Override
    public void onStreamCompleted(ConnectionMessage.StreamCompleted message) {
        if (socket.isCurrent(message.socket())) {
            responses.streamCompleted(message);
        }
    }

    @Override
    public void onConnectionLost(ConnectionMessage.ConnectionLost message) {
        if (socket.isCurrent(message.socket())) {
            responses.connectionLost(message.reason(), message.malformed());
        }
    }

    private void discard(ConnectionMessage.EventReceived event) {
        streams.discard(event.flow(), event.bytes().length);
    }
}
