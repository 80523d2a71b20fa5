package magpiehub.discovery;

import java.io.EOFException;
import java.io.IOException;
import java.net.SocketException;
import magpiehub.concurrent.Mailbox;

/**
 * Executes calls one after another on one thread, over a connection that it keeps open. The thread is shared by all
 * calls, because a position check each second would otherwise start a thread each second.
 */
final class RegistryCallChannel {
    /** A connection that is closed sooner than this after its last use was not closed by an idle timeout. */
    private static final long MIN_IDLE_MICROS = 2_000_000;

    private static final int MAILBOX_BYTES = 1 << 10;
    private static final long MICROS_PER_MILLI = 1000;

    private sealed interface Task {}

    private record ExecuteCall(RegistryCall call) implements Task {}

    private record Stop() implements Task {}

    private final RegistryClientContext context;
    private final Mailbox<Task> tasks;
    /** The open connection, or null. */
    private RegistryConnection connection;

    private long lastUsedAtMicros;

    /** Starts the channel's thread. */
    RegistryCallChannel(String threadName, RegistryClientContext context) {
        this.context = context;
        this.tasks = new Mailbox<>(context.clock(), MAILBOX_BYTES);
        context.startThread(threadName, this::run);
    }

    /** Queues a call behind those started before. May be called from any thread. */
    void start(RegistryCall call) {
        tasks.post(new ExecuteCall(call));
    }

    /** Ends the thread after the calls queued so far. May be called from any thread. */
    void stop() {
        tasks.post(new Stop());
    }

    private void run() {
        try {
            while (tasks.take(Long.MAX_VALUE) instanceof ExecuteCall task) {
                process(task.call);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            closeConnection();
        }
    }

    /** Executes a call and posts {@link RegistryMessage.CallEnded} after its last event. */
    private void process(RegistryCall call) throws InterruptedException {
        IOException failure = null;
        try {
            executeWithRetry(call);
        } catch (IOException e) {
            failure = e;
        } catch (RuntimeException | OutOfMemoryError e) {
            failure = new IOException(String.valueOf(e.getMessage()), e);
        }
        if (failure != null) {
            closeConnection();
        }
        lastUsedAtMicros = context.clock().micros();
        context.actor().post(new RegistryMessage.CallEnded(call, failure));
    }

    /** Executes a call, and retries it once on a new connection if the server had closed the idle one. */
    private void executeWithRetry(RegistryCall call) throws IOException, InterruptedException {
        String endpoint = call.endpointAddress();
        boolean reused = connection != null && connection.endpoint().equals(endpoint) && connection.isReusable();
        if (!reused) {
            closeConnection();
        }
        try {
            execute(call, endpoint);
        } catch (EOFException | SocketException e) {
            if (!reused || call.isCancelled() || !call.awaitsFirstEvent()) {
                throw e;
            }
            // A server that closes a connection after a long idle time may be healthy, so the call is retried. A
            // connection lost in the short pause between two list queries indicates a server failure: the idle
            // connections of all other routers were lost at the same time.
            if (call.kind != RegistryCallKind.CHECK && context.clock().micros() - lastUsedAtMicros < MIN_IDLE_MICROS) {
                call.markLostWhileIdle();
                throw e;
            }
            connection.close();
            execute(call, endpoint);
        }
    }

    private void execute(RegistryCall call, String endpoint) throws IOException, InterruptedException {
        RegistrySession session = call.session;
        if (connection == null || connection.isClosed()) {
            connection = new RegistryConnection(endpoint, session.tls(), context.clock(), context.bytesRead());
            call.setConnection(connection);
            context.observer().onConnecting(call.kind, endpoint);
            connection.connect((int) Math.max(1, session.settings().timeoutMicros() / MICROS_PER_MILLI));
        }
        call.setConnection(connection);
        if (call.isCancelled()) {
            connection.close();
            throw new IOException("cancelled");
        }
        RegistryEventListener listener = new RegistryCallEventPoster(call, context.actor());
        switch (call.kind) {
            case LIST -> session.protocol().readList(connection, listener);
            case WATCH -> session.protocol().watch(connection, call.requestedPosition, listener);
            case CHECK -> session.protocol().checkPosition(connection, listener);
            default -> throw new IllegalStateException("unexpected call kind: " + call.kind);
        }
    }

    private void closeConnection() {
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }
}
