package magpiehub.discovery;

import java.io.EOFException;
import java.io.IOException;
import java.net.SocketException;
import magpiehub.concurrent.Mailbox;

/**
 * A thread that makes one call after another on a connection that it keeps open. One thread for all calls,
 * rather than one a call: a check each second would otherwise start a thread each second.
 */
final class RegistryCallChannel {
    /** A connection closed sooner than this after its last use was not closed for being idle. */
    private static final long MIN_IDLE_MICROS = 2_000_000;

    private static final int MAILBOX_BYTES = 1 << 10;
    private static final long MICROS_PER_MILLI = 1000;

    private sealed interface Task {}

    private record MakeCall(RegistryCall call) implements Task {}

    private record Stop() implements Task {}

    private final RegistryClientContext context;
    private final Mailbox<Task> tasks;
    /** The open connection; null for none. */
    private RegistryConnection connection;

    private long lastUsedAtMicros;

    /** Starts the channel's thread. */
    RegistryCallChannel(String threadName, RegistryClientContext context) {
        this.context = context;
        this.tasks = new Mailbox<>(context.clock(), MAILBOX_BYTES);
        context.startThread(threadName, this::run);
    }

    /** Makes a call once those before it have ended. Any thread. */
    void start(RegistryCall call) {
        tasks.post(new MakeCall(call));
    }

    /** Ends the thread once the calls before this have ended. Any thread. */
    void stop() {
        tasks.post(new Stop());
    }

    private void run() {
        try {
            while (tasks.take(Long.MAX_VALUE) instanceof MakeCall task) {
                makeCall(task.call);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            closeConnection();
        }
    }

    /** Makes a call, and posts {@link RegistryMessage.CallEnded} after its last event. */
    private void makeCall(RegistryCall call) throws InterruptedException {
        IOException failure = null;
        try {
            exchangeWithRetry(call);
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

    /** Makes a call, once more on a new connection if the server had closed the idle one. */
    private void exchangeWithRetry(RegistryCall call) throws IOException, InterruptedException {
        String endpoint = call.endpointAddress();
        boolean reused = connection != null && connection.endpoint().equals(endpoint) && !connection.isClosed();
        if (!reused) {
            closeConnection();
        }
        try {
            exchange(call, endpoint);
        } catch (EOFException | SocketException e) {
            if (!reused || call.isCancelled() || !call.awaitsFirstEvent()) {
                throw e;
            }
            // A connection that the server closed after it was idle for long says nothing of the server. Between
            // two queries of a list it was lost with all other routers' connections, which are idle at the
            // same time.
            if (call.kind != RegistryCallKind.CHECK && context.clock().micros() - lastUsedAtMicros < MIN_IDLE_MICROS) {
                call.markLostWhileIdle();
                throw e;
            }
            connection.close();
            exchange(call, endpoint);
        }
    }

    private void exchange(RegistryCall call, String endpoint) throws IOException, InterruptedException {
        RegistrySession session = call.session;
        if (connection == null || connection.isClosed()) {
            connection = new RegistryConnection(endpoint, session.tls(), context.clock(), context.bytesRead());
            call.use(connection);
            context.observer().connecting(call.kind, endpoint);
            connection.connect((int) Math.max(1, session.settings().timeoutMicros() / MICROS_PER_MILLI));
        }
        call.use(connection);
        if (call.isCancelled()) {
            connection.close();
            throw new IOException("cancelled");
        }
        RegistryEventListener listener = new RegistryCallEventPoster(call, context.actor());
        switch (call.kind) {
            case LIST -> session.protocol().readList(connection, listener);
            case WATCH -> session.protocol().watch(connection, call.requestedAt, listener);
            case CHECK -> session.protocol().checkPosition(connection, listener);
            default -> throw new IllegalStateException("no such call: " + call.kind);
        }
    }

    private void closeConnection() {
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }
}
